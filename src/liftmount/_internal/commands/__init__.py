"""Commands of the operators' tool: a module each, its docstring the help."""
