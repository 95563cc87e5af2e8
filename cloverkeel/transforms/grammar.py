"""The grammar of a transform's source file, for `lark`'s LALR(1) parser (docs/transforms.md has the
language).

The names of rules are looked up by `compiler`, `expressions` and `source`: a rule and the method or key of
its name change together.
"""

from __future__ import annotations

KEYWORDS = (
    "transform owner phase applies class caller path reads writes steps on_error def set add remove rename to"
    " rewrite when else fail case in out fails if then and or not"
).split()

RULES = r"""
start: manifest functions statements cases
manifest: _TRANSFORM _word entry*
?entry: _OWNER _word -> owner
    | _PHASE _word -> phase
    | _APPLIES _CLASS _words -> classes
    | _APPLIES _CALLER _words -> callers
    | _APPLIES _PATH STRING -> path_prefix
    | _READS _words -> reads
    | _WRITES _words -> writes
    | _STEPS INT -> steps
    | _ON_ERROR _word -> on_error
functions: function*
function: _DEF NAME "(" parameters ")" "=" expr
parameters: (NAME ("," NAME)*)?
statements: statement*
?statement: _SET _word "=" expr -> set
    | _ADD _word "=" expr -> add
    | _REMOVE _word -> remove
    | _RENAME _word _TO _word -> rename
    | _REWRITE _word "=" expr -> rewrite
    | _WHEN expr block (_ELSE block)? -> when
    | _FAIL STRING -> fail
block: "{" statement* "}"
cases: case*
case: _CASE STRING "{" fact* "}"
?fact: _CLASS _word -> klass
    | _CALLER _word -> caller
    | _PATH STRING -> path
    | _IN STRING -> came
    | _OUT STRING -> leaves
    | _FAILS -> fails
?expr: either
    | _IF expr _THEN expr _ELSE expr -> choice
?either: both
    | both (_OR both)+ -> any
?both: plain
    | plain (_AND plain)+ -> all
?plain: compared
    | _NOT plain -> negated
?compared: sum
    | sum "==" sum -> equal
    | sum "!=" sum -> unequal
?sum: atom
    | atom ("+" atom)+ -> joined
?atom: STRING -> text
    | NAME -> name
    | NAME "(" (expr ("," expr)*)? ")" -> call
    | "(" expr ")"
_word: NAME | STRING
_words: _word ("," _word)*
NAME: /[A-Za-z_][A-Za-z0-9_.-]*/
STRING: /"(\\[^\n]|[^"\\\n])*"/
INT: /[0-9]{1,9}(?![A-Za-z0-9_.-])/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""

GRAMMAR = RULES + "\n".join(rf"_{word.upper()}.2: /{word}(?![A-Za-z0-9_.-])/" for word in KEYWORDS)
