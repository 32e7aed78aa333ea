import { type EventDefinition, EVENTS } from '@marjorampin/logging';
import { readLines, type LogLine } from './logLine';

/** Time around a request within which what its process noted may be its cause. */
const CONTEXT_MS = 3_000;
/** Fields that say when and where, which a line of the story shows by itself. */
const OWN_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'time', 'v', 'msg', 'event']);

const DEFINITIONS = new Map<number, EventDefinition>(
  Object.values(EVENTS).map((event) => [event.number, event]),
);

/**
 * Returns the story of a request or program, one line each. Clocks of hosts differ, so that lines
 * are in order within a process; processes follow each other by their first line. What a process
 * noted about its surroundings shortly before or after is marked with `~`.
 */
export function storyOf(id: string, texts: string[]): string[] {
  const lines = texts.flatMap(readLines);
  const own = lines.filter((line) => concerns(line, id));
  const processes = [...new Set(own.map(({ process }) => process))];
  return processes.flatMap((process) => {
    const mine = own.filter((line) => line.process === process);
    const context = surroundings(lines, mine, process);
    const ordered = [...mine, ...context].sort((a, b) => a.timeMs - b.timeMs);
    const shown = ordered.map((line) => describe(line, mine.includes(line)));
    return [`${process}:`, ...shown, ...remedies(mine)];
  });
}

function concerns({ fields }: LogLine, id: string): boolean {
  return fields.request === id || fields.program === id || fields.turn === id;
}

/** Lines of the same process that belong to no request. */
function surroundings(lines: LogLine[], mine: LogLine[], process: string): LogLine[] {
  const times = mine.map(({ timeMs }) => timeMs);
  const from = Math.min(...times) - CONTEXT_MS;
  const until = Math.max(...times) + CONTEXT_MS;
  return lines.filter(
    ({ process: writer, timeMs, fields }) =>
      writer === process && fields.request === undefined && timeMs >= from && timeMs <= until,
  );
}

function describe({ timeMs, event, fields }: LogLine, isOwn: boolean): string {
  const time = new Date(timeMs).toISOString().slice(11, 23);
  const message = DEFINITIONS.get(event)?.message ?? 'unknown event';
  const shown = Object.entries(fields)
    .filter(([name]) => !OWN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `  ${isOwn ? ' ' : '~'} ${time} ${event} ${message} ${shown.join(' ')}`;
}

function remedies(lines: LogLine[]): string[] {
  const numbers = [...new Set(lines.map(({ event }) => event))];
  return numbers.flatMap((number) => {
    const remedy = DEFINITIONS.get(number)?.remedy;
    return remedy && !remedy.startsWith('None') ? [`    ${number}: ${remedy}`] : [];
  });
}
