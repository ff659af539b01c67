/**
 * Linter settings: the strict and stylistic sets of typescript-eslint, checked doc comments, short functions.
 * @packageDocumentation
 */
import eslint from "@eslint/js";
import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/"] },
  eslint.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    plugins: { tsdoc },
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      "tsdoc/syntax": "error",
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true, allowBoolean: true },
      ],
      // The bundler leaves out what is unused of a namespace that is imported as one; of the named export it keeps all.
      "no-restricted-syntax": [
        "error",
        {
          selector: 'ImportDeclaration[source.value="zod"][importKind="value"] > ImportSpecifier',
          message: 'import * as z from "zod"',
        },
      ],
      "max-lines-per-function": ["error", { max: 80, skipComments: true, skipBlankLines: true }],
    },
  },
  {
    files: ["src/**", "examples/**"],
    rules: {
      // What is spoken on the users' platform stays in the adapter, which imports the product and not the reverse.
      "no-restricted-imports": ["error", { patterns: [{ regex: "^(\\.\\./)+platform(/|$)" }] }],
    },
  },
  {
    files: ["**/test/**"],
    rules: { "max-lines-per-function": "off" },
  },
  { files: ["**/*.mjs"], extends: [tseslint.configs.disableTypeChecked] },
);
