import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'node_modules/**', '.tap/**', 'src/protocol/generated/**'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
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
