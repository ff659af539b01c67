/**
 * Starts the daemons as processes of their own, for tests.
 * @packageDocumentation
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** A daemon that a test started. */
export interface TestProcess {
  /** First line of its standard output, decoded. */
  readonly started: Readonly<Record<string, string>>;
  readonly child: ChildProcess;
  /** Ends it by a signal and returns its exit code. */
  end(signal: NodeJS.Signals): Promise<number | null>;
}

const main = fileURLToPath(new URL("../cli/main.ts", import.meta.url));

/**
 * Starts a daemon and waits until it says where it listens.
 * @param args - arguments of the command line
 * @returns the running daemon
 */
export async function startProcess(args: readonly string[]): Promise<TestProcess> {
  const child = spawn(process.execPath, ["--import", "tsx", main, ...args], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, "line")) as [string];
  return {
    started: JSON.parse(line) as Record<string, string>,
    child,
    end: async (signal) => {
      if (child.exitCode !== null) return child.exitCode;
      const exited = once(child, "exit") as Promise<[number | null]>;
      child.kill(signal);
      return (await exited)[0];
    },
  };
}
