"""Functions that the checks in this folder share: they list the tracked source files, remove comments
and strings from the code, and find declarations."""
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

COMMENT_OR_STRING = re.compile(
    r'/\*.*?\*/|//[^\n]*|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'', re.S)
# A call of a macro and the opening of an extern "C" block can stand at file scope, but neither is a
# declaration. code_of() has blanked the string "C".
MACRO_CALL = re.compile(r"[A-Z][A-Z0-9_]*\s*\(")
EXTERN_BLOCK = re.compile(r"extern\s*\{")
# Matches a declaration up to a brace that opens a type definition or an initializer, not the body of
# a function.
TYPE_OR_VARIABLE = re.compile(r"(?:typedef|struct|union|enum)\b[^()]*\{|[^()]*=\s*\{")
PREPROCESSOR_LINE = re.compile(r"^[ \t]*#(?:[^\n]*\\\n)*[^\n]*", re.M)


def tracked(*patterns):
    """Returns the tracked files that match the patterns and exist in the checkout. A `*` in a pattern
    also matches slashes. Exits with an error if a pattern matches no file."""
    files = []
    for pattern in patterns:
        found = subprocess.run(["git", "ls-files", "--", pattern], cwd=ROOT, check=True,
                               capture_output=True, text=True).stdout.split("\n")
        found = [path for path in found if path and os.path.exists(os.path.join(ROOT, path))]
        if not found:
            sys.exit(f"no tracked file matches {pattern}")
        files += found
    return files


def read(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return file.read()


def blank(match):
    """Returns the match with each character replaced by a space. Line breaks stay, so that positions
    and line numbers do not change."""
    return re.sub(r"[^\n]", " ", match.group())


def code_of(text):
    """Returns the text with comments, strings and character constants blanked."""
    return COMMENT_OR_STRING.sub(blank, text)


def without_preprocessor(code):
    return PREPROCESSOR_LINE.sub(blank, code)


def line_of(text, position):
    return text.count("\n", 0, position) + 1


def closing(code, opening):
    """Returns the position of the parenthesis or brace that closes the one at `opening`, or the length
    of the code if none does."""
    opener = code[opening]
    closer = {"(": ")", "{": "}"}[opener]
    depth = 0
    for position in range(opening, len(code)):
        if code[position] == opener:
            depth += 1
        elif code[position] == closer:
            depth -= 1
            if depth == 0:
                return position
    return len(code)


def end_of_declaration(code, start):
    """Returns the position after the declaration that begins at `start`: after its semicolon, or after
    the body of a function."""
    position = start
    while position < len(code):
        if code[position] == ";":
            return position + 1
        if code[position] == "{":
            is_body = not TYPE_OR_VARIABLE.match(code[start:position + 1])
            position = closing(code, position)
            if is_body:
                return position + 1
        position += 1
    return len(code)


def declarations(code):
    """Yields the start and the text of each declaration at file scope."""
    code = without_preprocessor(code)
    position = 0
    while position < len(code):
        extern_block = EXTERN_BLOCK.match(code, position)
        macro_call = MACRO_CALL.match(code, position)
        if code[position].isspace() or code[position] in "};":
            position += 1
        elif extern_block:
            position = extern_block.end()
        elif macro_call:
            position = closing(code, macro_call.end() - 1) + 1
        else:
            end = end_of_declaration(code, position)
            yield position, code[position:end]
            position = end
