import { BURN_WINDOWS, type BurnCount } from './burnRecorder';

/** Counts of one process, with the service-level objectives of its customers. */
export interface ProcessBurn {
  counts: BurnCount[];
  /** Minimum share of good calls (0 to 1), by customer. */
  objectives: Record<string, number>;
}

/** One row of the burn report: a customer in one window. */
export interface BurnRow {
  customer: string;
  objective: number;
  window: string;
  total: number;
  bad: number;
  /** Burn rate: 1 uses up the error budget exactly, 10 uses it up ten times as fast. */
  burn: number;
  causes: Record<string, number>;
}

/** Merges the counts of all processes into rows, by customer and window. */
export function mergeBurn(processes: ProcessBurn[]): BurnRow[] {
  const objectives = Object.assign({}, ...processes.map((each) => each.objectives)) as Record<
    string,
    number
  >;
  const counts = processes.flatMap((each) => each.counts);
  const customers = [...new Set(counts.map(({ customer }) => customer))].sort();
  return customers.flatMap((customer) =>
    BURN_WINDOWS.map(({ name }) => {
      const windowCounts = counts
        .filter((count) => count.customer === customer)
        .flatMap(({ windows }) => windows.filter(({ window }) => window === name));
      return createRow(customer, objectives[customer] ?? 1, name, windowCounts);
    }),
  );
}

/** Renders the rows as text, one line each. */
export function renderBurn(rows: BurnRow[]): string {
  const lines = rows.map(({ customer, objective, window, total, bad, burn, causes }) => {
    const causeList = Object.entries(causes)
      .sort(([, a], [, b]) => b - a)
      .map(([cause, count]) => `${cause} ${count}`)
      .join(', ');
    const share = `${(objective * 100).toFixed(2)}%`;
    const summary = `${bad} of ${total} bad, burn ${burn.toFixed(2)}`;
    return `${customer.padEnd(20)} ${share} ${window.padEnd(6)} ${summary}${causeList ? ` (${causeList})` : ''}`;
  });
  return lines.join('\n');
}

function createRow(
  customer: string,
  objective: number,
  window: string,
  windowCounts: BurnCount['windows'],
): BurnRow {
  const causes: Record<string, number> = {};
  windowCounts.forEach((windowCount) => {
    Object.entries(windowCount.causes).forEach(([cause, count]) => {
      causes[cause] = (causes[cause] ?? 0) + count;
    });
  });
  const total = windowCounts.reduce((sum, windowCount) => sum + windowCount.total, 0);
  const bad = windowCounts.reduce((sum, windowCount) => sum + windowCount.bad, 0);
  const allowed = total * (1 - objective);
  const burn = bad === 0 ? 0 : bad / Math.max(allowed, Number.MIN_VALUE);
  return { customer, objective, window, total, bad, burn, causes };
}
