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
  const workloads = [...new Set(rows.map(({ user }) => user))];
  const sections = workloads.flatMap((workload) => {
    const workloadRows = rows.filter((row) => row.user === workload);
    writePlot(workload, workloadRows);
    return [
      `### ${workload}`,
      '',
      `Capacity: ${capacity[workload]} programs/s. Medians of ${seeds.length} seeds, ${seconds} s of arrivals each.`,
      '',
      `![p95 of program latency by load](../plots/policy-${workload}.svg)`,
      '',
      ...renderTable(workloadRows),
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

const PLOT_WIDTH_PX = 640;
const PLOT_HEIGHT_PX = 360;
const PLOT_MARGIN_PX = 56;

function writePlot(workload: string, rows: PolicyRow[]): void {
  const plottedRows = rows.filter(
    ({ scenario, policy }) => scenario === 'none' && !policy.includes('without'),
  );
  const policies = [...new Set(plottedRows.map(({ policy }) => policy))];
  const loads = plottedRows.map(({ load }) => load);
  const [low, high] = [Math.min(...loads), Math.max(...loads)];
  const maximumMs = Math.max(...plottedRows.map(({ p95Ms }) => p95Ms));
  const x = (load: number) =>
    PLOT_MARGIN_PX + ((load - low) / (high - low)) * (PLOT_WIDTH_PX - 2 * PLOT_MARGIN_PX);
  const y = (ms: number) =>
    PLOT_HEIGHT_PX - PLOT_MARGIN_PX - (ms / maximumMs) * (PLOT_HEIGHT_PX - 2 * PLOT_MARGIN_PX);
  const lines = policies.map((policy, index) => {
    const points = plottedRows.filter((row) => row.policy === policy);
    const path = points.map(({ load, p95Ms }) => `${x(load).toFixed(1)},${y(p95Ms).toFixed(1)}`);
    const color = COLORS[index % COLORS.length];
    return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${path.join(' ')}"/><text x="${PLOT_MARGIN_PX + 8}" y="${PLOT_MARGIN_PX + 16 * index}" fill="${color}">${policy}</text>`;
  });
  const ticks = [...new Set(loads)].map(
    (load) =>
      `<text x="${x(load)}" y="${PLOT_HEIGHT_PX - PLOT_MARGIN_PX + 20}" text-anchor="middle">${load * 100}%</text>`,
  );
  const svg = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" font-family="sans-serif" font-size="12">`,
    `<rect width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" fill="white"/>`,
    `<text x="${PLOT_MARGIN_PX}" y="24">${workload}: p95 of program latency (ms, 0 to ${maximumMs}) by load</text>`,
    `<path d="M${PLOT_MARGIN_PX},${PLOT_MARGIN_PX} V${PLOT_HEIGHT_PX - PLOT_MARGIN_PX} H${PLOT_WIDTH_PX - PLOT_MARGIN_PX}" fill="none" stroke="black"/>`,
    ...ticks,
    ...lines,
    '</svg>',
  ];
  mkdirSync(PLOTS, { recursive: true });
  writeFileSync(`${PLOTS}/policy-${workload}.svg`, `${svg.join('\n')}\n`);
}
