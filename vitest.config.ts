import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/*/tests/**/*.test.ts", "platform/tests/**/*.test.ts"],
        testTimeout: 120_000,
        hookTimeout: 30_000,
        maxWorkers: 4,
    },
});
