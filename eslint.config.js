import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/", "target/", "node_modules/", "**/*.mjs", "**/*.cjs", "eslint.config.js"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object with a union type." },
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            // A tagged-union error travels as a value; classes of Error wrap it only at the edges.
            "@typescript-eslint/no-extraneous-class": "off",
        },
    },
    {
        files: ["packages/*/tests/**", "platform/tests/**"],
        rules: {
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/require-await": "off",
        },
    },
    { files: ["vitest.config.ts"], rules: { "no-restricted-syntax": "off" } },
);
