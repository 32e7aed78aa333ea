import { BURN_WINDOWS, type BurnCount } from './burnRecorder';

/** What one process says of its customers, with their objectives. */
export interface ProcessBurn {
  counts: BurnCount[];
  /** Share of calls that must be good, by customer. */
  objectives: Record<string, number>;
}

/** One line of the report. */
export interface BurnRow {
  customer: string;
  objective: number;
  window: string;
  total: number;
  bad: number;
  /** 1 uses the error budget up exactly; 10 uses it up ten times as fast. */
  burn: number;
  causes: Record<string, number>;
}

/** Merges what all processes counted. */
export function mergeBurn(processes: ProcessBurn[]): BurnRow[] {
  const objectives = Object.assign({}, ...processes.map((each) => each.objectives)) as Record<
    string,
    number
  >;
  const counts = processes.flatMap((each) => each.counts);
  const customers = [...new Set(counts.map(({ customer }) => customer))].sort();
  return customers.flatMap((customer) =>
    BURN_WINDOWS.map(({ name }) => {
      const parts = counts
        .filter((count) => count.customer === customer)
        .flatMap(({ windows }) => windows.filter(({ window }) => window === name));
      return rowOf(customer, objectives[customer] ?? 1, name, parts);
    }),
  );
}

/** Renders the report as text. */
export function renderBurn(rows: BurnRow[]): string {
  const lines = rows.map(({ customer, objective, window, total, bad, burn, causes }) => {
    const reasons = Object.entries(causes)
      .sort(([, a], [, b]) => b - a)
      .map(([cause, count]) => `${cause} ${count}`)
      .join(', ');
    const share = `${(objective * 100).toFixed(2)}%`;
    const figures = `${bad} of ${total} bad, burn ${burn.toFixed(2)}`;
    return `${customer.padEnd(20)} ${share} ${window.padEnd(6)} ${figures}${reasons ? ` (${reasons})` : ''}`;
  });
  return lines.join('\n');
}

function rowOf(
  customer: string,
  objective: number,
  window: string,
  parts: BurnCount['windows'],
): BurnRow {
  const causes: Record<string, number> = {};
  parts.forEach((part) => {
    Object.entries(part.causes).forEach(([cause, count]) => {
      causes[cause] = (causes[cause] ?? 0) + count;
    });
  });
  const total = parts.reduce((sum, part) => sum + part.total, 0);
  const bad = parts.reduce((sum, part) => sum + part.bad, 0);
  const allowed = total * (1 - objective);
  const burn = bad === 0 ? 0 : bad / Math.max(allowed, Number.MIN_VALUE);
  return { customer, objective, window, total, bad, burn, causes };
}
