import { EVENTS } from './events';

/** Renders the page `docs/events.md` from the event definitions. */
export function renderEventCatalog(): string {
  const rows = Object.entries(EVENTS).map(
    ([name, { number, level, message, remedy }]) =>
      `| ${number} | \`${name}\` | ${level} | ${message} | ${remedy} |`,
  );
  return [
    '# Events in the logs',
    '',
    'Every process logs JSON lines: on the platform to standard output, otherwise to standard error.\n' +
      'The field `event` is the event number.',
    'A test compares this page with the code; `UPDATE_DOCS=1 npm test` regenerates it.',
    '',
    '| event | name | level | message | what to do |',
    '| ----- | ---- | ----- | ------- | ---------- |',
    ...rows,
    '',
  ].join('\n');
}
