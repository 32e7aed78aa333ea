import type { CapacityResults, MeasuredSlope } from './measureCapacity';

const BEGIN = '<!-- figures: written by npm run bench:capacity -->';
const END = '<!-- end of figures -->';

/** Sizes that the system has to carry. */
const TARGET = {
  entries: 1_300,
  endpoints: 10_000,
  programs: 2_700_000,
  requestsPerSecond: 90_000,
  partitions: 4_096,
};

/** Share of requests that are at-most-once calls, and their records: an intent and an outcome. */
const AT_MOST_ONCE_SHARE = 0.05;
const RECORDS_PER_CALL = 2;
const SHARDS = 16;
/** Hosts that fail or are replaced in a day, each leaving and joining. */
const CHANGES_PER_DAY = 1_700;
const MEGABYTE = 1_048_576;

/** Puts tables between the markers of the page. */
export function replaceTables(page: string, tables: string): string {
  const head = page.slice(0, page.indexOf(BEGIN));
  const tail = page.slice(page.indexOf(END));
  return `${head}${BEGIN}\n\n${tables}\n${tail}`;
}

/** Returns the tables between the markers of the page. */
export function extractTables(page: string): string {
  return page.slice(page.indexOf(BEGIN) + BEGIN.length, page.indexOf(END)).trim();
}

/** Renders the measured slopes, and what they come to at the target size. */
export function renderCapacityTables({ slopes }: CapacityResults): string {
  const measured = slopes.map(
    ({ name, perUnit, unit, residual, points, code }) =>
      `| ${name} | ${perUnit.toPrecision(3)} ${unit} | ${(residual * 100).toFixed(1)}% | ${points.map(({ size }) => size).join(', ')} | \`${code}\` |`,
  );
  const rows = atTarget(slopes).map(
    ({ what, slope, size, result }) => `| ${what} | ${slope} | ${size} | ${result} |`,
  );
  return [
    '| slope | for each unit | residual | measured at | code |',
    '| --- | --- | --- | --- | --- |',
    ...measured,
    '',
    '| at the target size, for each entry | slope | size | result |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

interface TargetRow {
  what: string;
  slope: string;
  size: string;
  result: string;
}

function atTarget(slopes: MeasuredSlope[]): TargetRow[] {
  const find = (part: string) => slopes.find(({ name }) => name.includes(part))?.perUnit ?? NaN;
  const programs = TARGET.programs / TARGET.entries;
  const appends = (TARGET.requestsPerSecond * AT_MOST_ONCE_SHARE * RECORDS_PER_CALL) / SHARDS;
  const keysPerDay = (appends / RECORDS_PER_CALL) * 86_400;
  const megabytes = (bytes: number) => `${(bytes / MEGABYTE).toFixed(1)} MB`;
  const share = (microsecondsPerSecond: number) =>
    `${(microsecondsPerSecond / 1e4).toFixed(2)}% of a core`;
  const row = (what: string, slope: number, size: string, result: string): TargetRow => ({
    what,
    slope: slope.toPrecision(3),
    size,
    result,
  });
  const perProgram = find('memory of a program');
  const perEndpoint = find('memory of an endpoint');
  const perKey = find('memory of a key');
  const perMember = find('change of members');
  const perOrder = find('rendezvous order');
  const perChoice = find('one choice');
  const requests = TARGET.requestsPerSecond / TARGET.entries;
  return [
    row(
      'programs in memory',
      perProgram,
      `${Math.round(programs)} programs`,
      megabytes(perProgram * programs),
    ),
    row(
      'endpoints known, all of them',
      perEndpoint,
      `${TARGET.endpoints} endpoints`,
      megabytes(perEndpoint * TARGET.endpoints),
    ),
    row(
      'a ledger writer, keys of one day',
      perKey,
      `${Math.round(keysPerDay)} keys`,
      megabytes(perKey * keysPerDay),
    ),
    row(
      'changes of members',
      perMember,
      `${TARGET.entries} members, ${CHANGES_PER_DAY} changes a day`,
      share((perMember * TARGET.entries * CHANGES_PER_DAY) / 86_400),
    ),
    row(
      'one check of all partitions',
      perOrder,
      `${TARGET.entries} members, ${TARGET.partitions} partitions`,
      `${((perOrder * TARGET.entries * TARGET.partitions) / 1e6).toFixed(1)} s of processor time`,
    ),
    row(
      'choices among all endpoints',
      perChoice,
      `${TARGET.endpoints} endpoints, ${Math.round(requests)} requests/s`,
      share(perChoice * TARGET.endpoints * requests),
    ),
  ];
}
