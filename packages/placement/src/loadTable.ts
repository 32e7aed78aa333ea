import type { EntryLoad } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Reports older than this are forgotten: several intervals between two reports. */
export const REPORT_LIFETIME_MS = 2_000;
/** Maximum number of entries; far more than a failure domain has. */
const MAXIMUM_ENTRIES = 1_000;

interface ReportedLoad {
  load: EntryLoad;
  reportedAtMs: number;
}

/** Latest loads that entries reported to a keeper. */
export class LoadTable {
  private readonly clock: Clock;

  private readonly reports = new Map<string, ReportedLoad>();

  constructor({ clock }: { clock: Clock }) {
    this.clock = clock;
  }

  /** Stores the load of an entry and returns those of the others in its failure domain. */
  exchange(load: EntryLoad): EntryLoad[] {
    const now = this.clock.now();
    this.reports.delete(load.id);
    this.reports.set(load.id, { load, reportedAtMs: now });
    this.forgetOld(now);
    return [...this.reports.values()]
      .filter((report) => report.load.id !== load.id && report.load.domain === load.domain)
      .map(({ load: other, reportedAtMs }) => ({
        ...other,
        stalenessMs: other.stalenessMs + now - reportedAtMs,
      }));
  }

  /** Forgets old reports, and the oldest ones above the maximum number. */
  private forgetOld(now: number): void {
    for (const [id, { reportedAtMs }] of this.reports) {
      const isOld = now - reportedAtMs > REPORT_LIFETIME_MS;
      if (!isOld && this.reports.size <= MAXIMUM_ENTRIES) return;
      this.reports.delete(id);
    }
  }
}
