import { defineConfig } from "vitest/config";

const config = defineConfig({
  test: {
    include: ["src/**/test/**/*.test.ts", "platform/test/**/*.test.ts"],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    maxWorkers: 6,
  },
});

// Vitest reads its settings from the default export.
export default config;
