import type { CapacityResults, MeasuredSlope } from './measureCapacity';

const BEGIN = '<!-- figures: written by npm run bench:capacity -->';
const END = '<!-- end of figures -->';

/** Size of the deployment that the measured slopes are projected to. */
const TARGET = {
  entries: 1_300,
  endpoints: 10_000,
  programs: 2_700_000,
  requestsPerSecond: 90_000,
  /** Equals `PARTITION_COUNT`. */
  partitions: 4_096,
};

/** Share of requests that are at-most-once calls. */
const AT_MOST_ONCE_SHARE = 0.05;
/** Ledger records of an at-most-once call: an intent and an outcome. */
const RECORDS_PER_AT_MOST_ONCE_CALL = 2;
/** Equals `LEDGER_SHARD_COUNT`. */
const LEDGER_SHARDS = 16;
/** Membership changes a day: hosts that fail or are replaced, each of which leaves and joins. */
const MEMBER_CHANGES_PER_DAY = 1_700;
const BYTES_PER_MEBIBYTE = 1_048_576;

/** Replaces the tables between the page's markers. */
export function replaceTables(page: string, tables: string): string {
  const head = page.slice(0, page.indexOf(BEGIN));
  const tail = page.slice(page.indexOf(END));
  return `${head}${BEGIN}\n\n${tables}\n${tail}`;
}

/** Returns the tables between the page's markers. */
export function extractTables(page: string): string {
  return page.slice(page.indexOf(BEGIN) + BEGIN.length, page.indexOf(END)).trim();
}

/** Renders a table of the measured slopes and one of their projection to the target size. */
export function renderCapacityTables({ slopes }: CapacityResults): string {
  const measured = slopes.map(
    ({ name, perUnit, unit, residual, points, code }) =>
      `| ${name} | ${perUnit.toPrecision(3)} ${unit} | ${(residual * 100).toFixed(1)}% | ${points.map(({ size }) => size).join(', ')} | \`${code}\` |`,
  );
  const rows = projectToTarget(slopes).map(
    ({ quantity, slope, size, result }) => `| ${quantity} | ${slope} | ${size} | ${result} |`,
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
  quantity: string;
  slope: string;
  size: string;
  result: string;
}

function projectToTarget(slopes: MeasuredSlope[]): TargetRow[] {
  const findSlope = (part: string) =>
    slopes.find(({ name }) => name.includes(part))?.perUnit ?? NaN;
  const programs = TARGET.programs / TARGET.entries;
  const appendsPerSecondPerShard =
    (TARGET.requestsPerSecond * AT_MOST_ONCE_SHARE * RECORDS_PER_AT_MOST_ONCE_CALL) / LEDGER_SHARDS;
  const keysPerDay = (appendsPerSecondPerShard / RECORDS_PER_AT_MOST_ONCE_CALL) * 86_400;
  const formatMegabytes = (bytes: number) => `${(bytes / BYTES_PER_MEBIBYTE).toFixed(1)} MB`;
  const formatCoreShare = (microsecondsPerSecond: number) =>
    `${(microsecondsPerSecond / 1e4).toFixed(2)}% of a core`;
  const createRow = (quantity: string, slope: number, size: string, result: string): TargetRow => ({
    quantity,
    slope: slope.toPrecision(3),
    size,
    result,
  });
  const perProgram = findSlope('memory of a program');
  const perEndpoint = findSlope('memory of an endpoint');
  const perKey = findSlope('memory of a key');
  const perMember = findSlope('change of members');
  const perOrder = findSlope('rendezvous order');
  const perChoice = findSlope('one choice');
  const requests = TARGET.requestsPerSecond / TARGET.entries;
  return [
    createRow(
      'programs in memory',
      perProgram,
      `${Math.round(programs)} programs`,
      formatMegabytes(perProgram * programs),
    ),
    createRow(
      'endpoints known, all of them',
      perEndpoint,
      `${TARGET.endpoints} endpoints`,
      formatMegabytes(perEndpoint * TARGET.endpoints),
    ),
    createRow(
      'a ledger writer, keys of one day',
      perKey,
      `${Math.round(keysPerDay)} keys`,
      formatMegabytes(perKey * keysPerDay),
    ),
    createRow(
      'changes of members',
      perMember,
      `${TARGET.entries} members, ${MEMBER_CHANGES_PER_DAY} changes a day`,
      formatCoreShare((perMember * TARGET.entries * MEMBER_CHANGES_PER_DAY) / 86_400),
    ),
    createRow(
      'one check of all partitions',
      perOrder,
      `${TARGET.entries} members, ${TARGET.partitions} partitions`,
      `${((perOrder * TARGET.entries * TARGET.partitions) / 1e6).toFixed(1)} s of processor time`,
    ),
    createRow(
      'choices among all endpoints',
      perChoice,
      `${TARGET.endpoints} endpoints, ${Math.round(requests)} requests/s`,
      formatCoreShare(perChoice * TARGET.endpoints * requests),
    ),
  ];
}
