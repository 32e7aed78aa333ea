import { EVENTS } from './events';

/** Returns the page `docs/events.md`, made from the events that the code can write. */
export function renderEventCatalogue(): string {
  const rows = Object.entries(EVENTS).map(
    ([name, { number, level, message, remedy }]) =>
      `| ${number} | \`${name}\` | ${level} | ${message} | ${remedy} |`,
  );
  return [
    '# Events in the logs',
    '',
    'Every process writes JSON lines to standard error. The field `event` holds the number.',
    'A test compares this page with the code; `UPDATE_DOCS=1 npm test` writes it anew.',
    '',
    '| event | name | level | message | what to do |',
    '| ----- | ---- | ----- | ------- | ---------- |',
    ...rows,
    '',
  ].join('\n');
}
