/** ESLint rule: a module begins with a comment, and each exported declaration has a doc comment directly above it. */

const EXPORTS = new Set(['ExportNamedDeclaration', 'ExportDefaultDeclaration']);

/** Exports that declare something here; lists and re-exports are documented where the item is declared. */
const declares = (statement) =>
  EXPORTS.has(statement.type) && statement.declaration !== null && statement.declaration !== undefined;

const nameOf = ({ declaration }) =>
  declaration.id?.name ?? declaration.declarations?.[0]?.id.name ?? 'the default export';

const isDoc = (comment) => comment?.type === 'Block' && comment.value.startsWith('*');

/** The rule. Reports the module or the declaration that lacks its comment. */
export const exportedDocs = {
  meta: {
    type: 'suggestion',
    messages: {
      module: 'A module begins with a comment that says what it does.',
      item: '{{name}} is exported without a doc comment.',
    },
    schema: [],
  },
  create: (context) => ({
    Program: (program) => {
      const { sourceCode } = context;
      if (program.body.length === 0) return;
      const [first] = sourceCode.getAllComments();
      if (first === undefined || first.range[0] > sourceCode.getFirstToken(program).range[0])
        context.report({ loc: { line: 1, column: 0 }, messageId: 'module' });
      const documented = new Set();
      for (const statement of program.body.filter(declares)) {
        const name = nameOf(statement);
        // Of overloads, the first one carries the comment.
        if (isDoc(sourceCode.getCommentsBefore(statement).at(-1))) documented.add(name);
        else if (!documented.has(name))
          context.report({ node: statement, messageId: 'item', data: { name } });
      }
    },
  }),
};
