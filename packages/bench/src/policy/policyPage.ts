import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { PolicyRow } from './measurePolicy';

const PAGE = 'docs/design/policy.md';
const PLOTS = 'docs/plots';
const BEGIN = '<!-- figures: written by npm run bench -- policy -->';
const END = '<!-- end of figures -->';
const COLORS = ['#888888', '#d95f02', '#7570b3', '#1b9e77'];

/** Results of one part or of all parts, from which the page is generated. */
export interface PolicyResults {
  seeds: number[];
  /** Seconds during which programs arrive. */
  seconds: number;
  /** Programs a second that saturate the engines, by workload. */
  capacity: Record<string, number>;
  rows: PolicyRow[];
}

/** Writes the tables of all workloads into the page, and a plot of each workload. */
export function writePolicyPage({ rows, capacity, seeds, seconds }: PolicyResults): void {
  const users = [...new Set(rows.map(({ user }) => user))];
  const sections = users.flatMap((user) => {
    const userRows = rows.filter((row) => row.user === user);
    writePlot(user, userRows);
    return [
      `### ${user}`,
      '',
      `Capacity: ${capacity[user]} programs/s. Medians of ${seeds.length} seeds, ${seconds} s of arrivals each.`,
      '',
      `![p95 of program latency by load](../plots/policy-${user}.svg)`,
      '',
      ...renderTable(userRows),
      '',
    ];
  });
  const text = readFileSync(PAGE, 'utf8');
  const head = text.slice(0, text.indexOf(BEGIN));
  const tail = text.slice(text.indexOf(END));
  writeFileSync(PAGE, `${head}${BEGIN}\n\n${sections.join('\n')}\n${tail}`);
}

function renderTable(rows: PolicyRow[]): string[] {
  const head =
    '| scenario | load | policy | mean ms | p50 | p95 (spread) | p99 | urgent p95 | wasted tokens | urgent/s | all/s | abandoned | fairness |';
  const separator = `|${' --- |'.repeat(13)}`;
  const body = rows.map((row) => {
    const spread = `${row.p95Ms} (${row.p95SpreadMs.join('–')})`;
    const cells = [
      row.scenario,
      row.load,
      row.policy,
      row.meanMs,
      row.p50Ms,
      spread,
      row.p99Ms,
      row.urgentP95Ms,
      row.wastedTokens,
      row.urgentPerSecond,
      row.finishedPerSecond,
      row.abandoned,
      row.fairness,
    ];
    return `| ${cells.join(' | ')} |`;
  });
  return [head, separator, ...body];
}

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 56;

function writePlot(user: string, rows: PolicyRow[]): void {
  const plottedRows = rows.filter(
    ({ scenario, policy }) => scenario === 'none' && !policy.includes('without'),
  );
  const policies = [...new Set(plottedRows.map(({ policy }) => policy))];
  const loads = plottedRows.map(({ load }) => load);
  const [low, high] = [Math.min(...loads), Math.max(...loads)];
  const maximumMs = Math.max(...plottedRows.map(({ p95Ms }) => p95Ms));
  const x = (load: number) => MARGIN + ((load - low) / (high - low)) * (WIDTH - 2 * MARGIN);
  const y = (ms: number) => HEIGHT - MARGIN - (ms / maximumMs) * (HEIGHT - 2 * MARGIN);
  const lines = policies.map((policy, index) => {
    const points = plottedRows.filter((row) => row.policy === policy);
    const path = points.map(({ load, p95Ms }) => `${x(load).toFixed(1)},${y(p95Ms).toFixed(1)}`);
    const color = COLORS[index % COLORS.length];
    return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${path.join(' ')}"/><text x="${MARGIN + 8}" y="${MARGIN + 16 * index}" fill="${color}">${policy}</text>`;
  });
  const ticks = [...new Set(loads)].map(
    (load) =>
      `<text x="${x(load)}" y="${HEIGHT - MARGIN + 20}" text-anchor="middle">${load * 100}%</text>`,
  );
  const svg = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<text x="${MARGIN}" y="24">${user}: p95 of program latency (ms, 0 to ${maximumMs}) by load</text>`,
    `<path d="M${MARGIN},${MARGIN} V${HEIGHT - MARGIN} H${WIDTH - MARGIN}" fill="none" stroke="black"/>`,
    ...ticks,
    ...lines,
    '</svg>',
  ];
  mkdirSync(PLOTS, { recursive: true });
  writeFileSync(`${PLOTS}/policy-${user}.svg`, `${svg.join('\n')}\n`);
}
