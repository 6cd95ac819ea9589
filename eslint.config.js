import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

/** The TypeScript team's format, kept by the linter: `npm run format` applies it. */
const format = stylistic.configs.customize({
    indent: 4,
    quotes: "double",
    semi: true,
    braceStyle: "stroustrup",
    arrowParens: false,
    quoteProps: "as-needed",
});

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "journal/**", "node_modules/**", "src/rpc/gen/**", ".demo/**"] },
    ...tseslint.configs.recommended,
    format,
    {
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "max-lines": ["error", { max: 350 }],
            "@stylistic/arrow-parens": ["error", "as-needed"],
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@stylistic/max-len": ["error", { code: 140, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
            "@stylistic/operator-linebreak": ["error", "after", { overrides: { "?": "before", ":": "before", "|": "before" } }],
            "@stylistic/indent-binary-ops": "off",
            "@stylistic/lines-between-class-members": ["error", "always", { exceptAfterSingleLine: true }],
            "@typescript-eslint/no-unused-expressions": "off",
            "@typescript-eslint/consistent-type-imports": "error",
        },
    },
);
