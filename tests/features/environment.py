"""Sets up and removes the resources of scenarios."""

from pathlib import Path
import shutil
import tempfile


def before_scenario(context, _scenario):
    """Give each scenario its own directory."""
    context.directory = Path(tempfile.mkdtemp(prefix='liftmount-test-'))
    context.deployment = None


def after_scenario(context, scenario):
    """Stop the processes of the scenario; keep the logs if it failed."""
    if context.deployment is not None:
        context.deployment.stop()
    if scenario.status.has_failed() and context.deployment is not None:
        print(f'Logs are in {context.directory}.')
        return
    shutil.rmtree(context.directory, ignore_errors=True)
