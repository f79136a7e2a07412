/** ESLint rule: each module begins with a comment, and each exported declaration has a doc comment directly above it. */

const EXPORTS = new Set(['ExportNamedDeclaration', 'ExportDefaultDeclaration']);

/** Whether an export declares its item. Items of export lists and re-exports are documented where they are declared. */
const declares = (statement) =>
  EXPORTS.has(statement.type) && statement.declaration !== null && statement.declaration !== undefined;

/** Returns the name of the exported item for the message. */
const nameOf = ({ declaration }) =>
  declaration.id?.name ?? declaration.declarations?.[0]?.id.name ?? 'the default export';

const isDoc = (comment) => comment?.type === 'Block' && comment.value.startsWith('*');

/** The ESLint rule. Reports modules and exported declarations without a comment. */
export const exportedDocs = {
  meta: {
    type: 'suggestion',
    messages: {
      module: 'Begin the module with a comment that describes what it does.',
      item: 'Exported item {{name}} has no doc comment.',
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
        // Only the first overload of a function needs the comment.
        if (isDoc(sourceCode.getCommentsBefore(statement).at(-1))) documented.add(name);
        else if (!documented.has(name))
          context.report({ node: statement, messageId: 'item', data: { name } });
      }
    },
  }),
};
