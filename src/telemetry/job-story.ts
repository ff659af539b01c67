/**
 * Picks one job's lines from the logs of many entries.
 * @packageDocumentation
 */

/** One line of a log, with what orders it. */
export interface StoryLine {
  /** Where the line stands: the log's name. */
  readonly source: string;
  /** The line's time as text, which sorts as the time does. */
  readonly time: string;
  readonly event: string;
  /** The whole line. */
  readonly text: string;
}

/**
 * Picks the lines of a job and of its tasks.
 * @param logs - the text of each log, by name
 * @param jobId - the job's identifier
 * @returns the lines in the order of their times; lines of one log keep their order
 */
export function readJobStory(logs: ReadonlyMap<string, string>, jobId: string): StoryLine[] {
  const lines = [...logs].flatMap(([source, text]) =>
    text
      .split("\n")
      .filter((line) => isAbout(line, jobId))
      .map((line) => ({
        source,
        time: readField(line, "time"),
        event: readField(line, "event"),
        text: line,
      })),
  );
  return lines.sort((left, right) => left.time.localeCompare(right.time));
}

function isAbout(line: string, jobId: string): boolean {
  const fields = line.split(" ");
  return fields.some((field) => field === `job=${jobId}` || field.startsWith(`task=${jobId}.`));
}

function readField(line: string, name: string): string {
  const field = line.split(" ").find((each) => each.startsWith(`${name}=`));
  return field?.slice(name.length + 1) ?? "";
}
