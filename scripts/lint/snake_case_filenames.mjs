import {basename} from 'node:path';

const SNAKE_CASE = /^[a-z0-9]+(_[a-z0-9]+)*\.ts$/;

/** ESLint rule: source file names are snake_case. */
export const filenamesAreSnakeCase = {
  meta: {
    type: 'suggestion',
    messages: {name: '{{name}} is not snake_case.'},
    schema: [],
  },
  create(context) {
    return {
      Program(node) {
        const name = basename(context.filename);
        if (SNAKE_CASE.test(name)) return;
        context.report({node, messageId: 'name', data: {name}});
      },
    };
  },
};
