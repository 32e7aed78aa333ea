import { parseJson } from '@marjorampin/types';
import * as z from 'zod';

/** One line of a process's log. */
export interface LogLine {
  process: string;
  /** Milliseconds since 1970 by the clock of the process. */
  timeMs: number;
  event: number;
  fields: Record<string, unknown>;
}

const schema = z.looseObject({
  name: z.string(),
  time: z.string().transform((text) => Date.parse(text)),
  event: z.number(),
});

/** Reads the lines of a log; what is no event is left out: the output of other programs, and a line
 * that was cut off when its process died. */
export function readLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    // Collectors often put a time or a host before the line itself.
    const start = line.indexOf('{');
    const parsed = schema.safeParse(start < 0 ? undefined : parseJson(line.slice(start)));
    if (!parsed.success) return [];
    const { name, time, event, ...fields } = parsed.data;
    return [{ process: name, timeMs: time, event, fields }];
  });
}
