import { defineConfig } from "vitest/config";

/** Tests with crowds of connections to a real entry: they run one at a time, after all others. */
const crowdTests = ["platform/test/caller-crowds.test.ts"];

const config = defineConfig({
  test: {
    projects: [
      {
        test: {
          name: "tests",
          include: ["src/**/test/**/*.test.ts", "platform/test/**/*.test.ts"],
          exclude: crowdTests,
          testTimeout: 30_000,
          hookTimeout: 30_000,
          maxWorkers: 6,
          sequence: { groupOrder: 0 },
        },
      },
      {
        test: {
          name: "crowds",
          include: crowdTests,
          testTimeout: 120_000,
          hookTimeout: 30_000,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});

// Vitest reads its settings from the default export.
export default config;
