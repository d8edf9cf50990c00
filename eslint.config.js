import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import importRules from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

/** Common ground of both interfaces, in `src`. */
const COMMON_GROUND = [
  'consensus',
  'errors',
  'hashing',
  'observability',
  'positions',
  'protocol',
  'runtime',
  'storage',
];

/** Who may not import whom; docs/ARCHITECTURE.md says why. */
const FORBIDDEN_IMPORTS = [
  ...COMMON_GROUND.map((folder) => ({
    target: `./src/${folder}`,
    from: ['./src/mysql', './src/appointed', './src/daemon', './src/cli'],
    message: 'Common ground knows no interface.',
  })),
  {
    target: './src/mysql',
    from: './src/appointed',
    message: 'The two interfaces do not know each other.',
  },
  {
    target: './src/appointed',
    from: './src/mysql',
    message: 'The two interfaces do not know each other.',
  },
  ...['control', 'failover', 'catalog', 'leases'].map((folder) => ({
    target: `./src/appointed/${folder}`,
    from: ['proxy', 'sessions', 'routing', 'trust', 'connections', 'relay', 'daemon'].map(
      (part) => `./src/appointed/${part}`,
    ),
    message: 'Control does not know the parts of a proxy.',
  })),
  {
    target: './src',
    from: ['./platform', './lab', './test'],
    message: 'The product knows neither the platform nor the lab.',
  },
  {
    target: './platform',
    from: ['./lab', './test'],
    message: 'The adapter does not know the lab.',
  },
];

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'node_modules/**', '.tap/**', 'src/protocol/generated/**'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { 'import-x': importRules },
    settings: { 'import-x/resolver-next': [createTypeScriptImportResolver()] },
    rules: {
      'import-x/no-cycle': 'error',
      'import-x/no-restricted-paths': ['error', { zones: FORBIDDEN_IMPORTS }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'off',
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
      'max-depth': ['error', 4],
      complexity: ['error', { max: 16, variant: 'modified' }],
      // The types of `modern-errors` classes are not recognised as errors by these two rules.
      '@typescript-eslint/only-throw-error': 'off',
      '@typescript-eslint/prefer-promise-reject-errors': 'off',
    },
  },
  { files: ['**/*.js'], ...tseslint.configs.disableTypeChecked },
);
