import { type EventDefinition, EVENTS } from '@marjorampin/logging';
import { parseLogLines, type LogLine } from './logLine';

/** Events at most this long before the first or after the last match may explain it. */
const CONTEXT_MARGIN_MS = 3_000;
/** Fields that every log line has; they are not listed after the message. */
const STANDARD_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'time', 'v', 'msg', 'event']);

const DEFINITIONS = new Map<number, EventDefinition>(
  Object.values(EVENTS).map((event) => [event.number, event]),
);

/**
 * Returns the timeline of a request, program or turn, one event a line. Clocks of hosts differ, so
 * events are ordered by time only within a process; processes are in the order of their first match
 * in `logs`. Events of the same process without a request id, shortly before or after the matches,
 * are included as context and marked with `~`.
 */
export function renderTimeline(id: string, logs: string[]): string[] {
  const lines = logs.flatMap(parseLogLines);
  const allMatches = lines.filter((line) => matchesId(line, id));
  const processes = [...new Set(allMatches.map(({ process }) => process))];
  return processes.flatMap((process) => {
    const matches = allMatches.filter((line) => line.process === process);
    const context = findContext(lines, matches, process);
    const ordered = [...matches, ...context].sort((a, b) => a.timeMs - b.timeMs);
    const rendered = ordered.map((line) => renderLine(line, matches.includes(line)));
    return [`${process}:`, ...rendered, ...renderRemedies(matches)];
  });
}

function matchesId({ fields }: LogLine, id: string): boolean {
  return fields.request === id || fields.program === id || fields.turn === id;
}

/** Returns the other events of a process that have no request id and are close in time to `matches`. */
function findContext(lines: LogLine[], matches: LogLine[], process: string): LogLine[] {
  const times = matches.map(({ timeMs }) => timeMs);
  const from = Math.min(...times) - CONTEXT_MARGIN_MS;
  const until = Math.max(...times) + CONTEXT_MARGIN_MS;
  const matched = new Set(matches);
  return lines.filter((line) => {
    const { process: writer, timeMs, fields } = line;
    const isNear = timeMs >= from && timeMs <= until;
    return writer === process && fields.request === undefined && isNear && !matched.has(line);
  });
}

function renderLine({ timeMs, event, fields }: LogLine, isMatch: boolean): string {
  const time = new Date(timeMs).toISOString().slice(11, 23);
  const message = DEFINITIONS.get(event)?.message ?? 'unknown event';
  const fieldPairs = Object.entries(fields)
    .filter(([name]) => !STANDARD_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `  ${isMatch ? ' ' : '~'} ${time} ${event} ${message} ${fieldPairs.join(' ')}`;
}

function renderRemedies(lines: LogLine[]): string[] {
  const numbers = [...new Set(lines.map(({ event }) => event))];
  return numbers.flatMap((number) => {
    const remedy = DEFINITIONS.get(number)?.remedy;
    return remedy && !remedy.startsWith('None') ? [`    ${number}: ${remedy}`] : [];
  });
}
