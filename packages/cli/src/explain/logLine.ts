import { parseJson } from '@marjorampin/types';
import * as z from 'zod';

/** An event in the log of a process. */
export interface LogLine {
  process: string;
  /** Milliseconds since 1970, by the clock of the process's host. */
  timeMs: number;
  event: number;
  fields: Record<string, unknown>;
}

const schema = z.looseObject({
  name: z.string(),
  time: z.string().transform((text) => Date.parse(text)),
  event: z.number(),
});

/** Parses the events of a log. Skips all other lines: the output of other programs, and a line that
 * was truncated when its process died. */
export function parseLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    // Log collectors often put a time or a host name before the line.
    const start = line.indexOf('{');
    const parsed = schema.safeParse(start < 0 ? undefined : parseJson(line.slice(start)));
    if (!parsed.success) return [];
    const { name, time, event, ...fields } = parsed.data;
    return [{ process: name, timeMs: time, event, fields }];
  });
}
