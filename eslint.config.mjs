import tseslint from 'typescript-eslint';

// Only what a person on call would want to be stopped by; how files are laid out is the formatter's.
export default tseslint.config(
  { ignores: ['**/dist/**', '**/bin/**', 'tools/**', 'examples/**', 'eslint.config.mjs', '**/generated.ts'] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      'max-len': ['error', { code: 120 }],
      'no-console': 'error',
      eqeqeq: 'error',
      // Modules are closures and have no `this`, so their methods may be handed on; commands alone are classes.
      '@typescript-eslint/unbound-method': 'off',
      'no-restricted-syntax': ['error', { selector: 'ThisExpression', message: 'Modules have no this.' }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
    },
  },
  {
    files: ['**/commands/*.ts'],
    rules: { 'no-restricted-syntax': 'off' },
  },
  {
    // chai's assertions are read as expressions
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
);
