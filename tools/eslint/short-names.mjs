/**
 * ESLint rule: names of one letter stand only in scopes of one line. Indices and coordinates may be short anywhere; type
 * parameters too.
 */

const SHORT_ANYWHERE = new Set(['i', 'j', 'k', 'x', 'y', 'z', '_']);

const isOneLine = ({ loc }) => loc.start.line === loc.end.line;

const isTypeParameter = ({ defs }) => defs.some(({ node }) => node.type === 'TSTypeParameter');

/** The rule. Reports the declaration of the name. */
export const shortNames = {
  meta: {
    type: 'suggestion',
    messages: { short: '"{{name}}" is used over more than one line: it needs a whole name.' },
    schema: [],
  },
  create: (context) => ({
    'Program:exit': () => {
      for (const scope of context.sourceCode.scopeManager.scopes) {
        if (isOneLine(scope.block)) continue;
        for (const variable of scope.variables) {
          const [definition] = variable.defs;
          if (definition === undefined || variable.name.length > 1) continue;
          if (SHORT_ANYWHERE.has(variable.name) || isTypeParameter(variable)) continue;
          context.report({ node: definition.name, messageId: 'short', data: { name: variable.name } });
        }
      }
    },
  }),
};
