import tseslint from 'typescript-eslint';
import {filenamesAreSnakeCase} from './scripts/lint/snake_case_filenames.mjs';
import {FUNCTION_VERBS} from './scripts/lint/function_verbs.mjs';

/** Each package may import only the packages named here; see docs/ARCHITECTURE.md. */
const ALLOWED_IMPORTS = {
  common: [],
  http: ['common', 'decisions'],
  decisions: ['common'],
  platform: ['common', 'http'],
  backend: ['common', 'http'],
  peers: ['common', 'http'],
  questionnaire: ['common', 'platform'],
  daemon: ['common', 'http', 'decisions', 'platform', 'backend', 'peers'],
  client: ['common', 'http', 'platform', 'questionnaire'],
  router: ['common', 'http', 'decisions', 'peers'],
};

/** Modules that do input or output, forbidden in the packages free of it. */
const IO_MODULES = ['node:http', 'node:net', 'node:fs', 'node:dns'];
const IO_FREE_PACKAGES = ['common', 'decisions'];

/** The adapter of the users' platform stands beside the packages. */
const ADAPTER = 'platform-adapter';
ALLOWED_IMPORTS[ADAPTER] = ['common', 'http', 'router'];

const importRules = Object.entries(ALLOWED_IMPORTS).map(([name, allowed]) => ({
  files: [
    name === ADAPTER ? 'platform/src/**/*.ts' : `packages/${name}/src/**/*.ts`,
  ],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: IO_FREE_PACKAGES.includes(name) ? IO_MODULES : [],
        patterns: [
          {
            regex: `^@greengagecross/(?!(${allowed.join('|') || 'none'})$)`,
            message: `${name} may import only: ${allowed.join(', ') || 'no other package'}.`,
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      'scripts/start.cjs',
      '**/dist/**',
      '**/node_modules/**',
      'out/**',
      'target/**',
      'journal/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    plugins: {local: {rules: {'snake-case-filenames': filenamesAreSnakeCase}}},
    rules: {
      'local/snake-case-filenames': 'error',
      'max-lines': ['error', {max: 250, skipBlankLines: true}],
      eqeqeq: ['error', 'always'],
      'prefer-const': 'error',
      curly: ['error', 'multi-line'],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'TSEnumDeclaration[const=true]',
          message: 'Use a plain enum.',
        },
        {
          selector: 'PropertyDefinition > PrivateIdentifier',
          message: 'Use the private keyword.',
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused', varsIgnorePattern: '^unused'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {selector: ['class', 'enum', 'typeAlias'], format: ['PascalCase']},
        {
          selector: 'enumMember',
          format: ['UPPER_CASE'],
        },
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
          custom: {
            regex: `^(${FUNCTION_VERBS.join('|')})([A-Z0-9]|$)`,
            match: true,
          },
        },
      ],
    },
  },
  ...importRules,
);
