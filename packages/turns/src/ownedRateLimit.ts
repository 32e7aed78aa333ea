import { ObservedRateLimit, type PermitDecision, PermitSchedule } from '@marjorampin/routing';

const MS_PER_SECOND = 1_000;
const UNLIMITED: PermitDecision = { isGranted: true, waitMs: 0, nextWaitMs: 0 };

/** Request for a permit from one of the owners of a limit. */
export interface OwnedPermitRequest {
  /** Number of keepers that share the limit, each with an equal part of the rate. */
  owners: number;
  /** Position of this keeper among them, from 0. */
  rank: number;
  /** Longest time that the request can wait for its permit. */
  maximumWaitMs: number;
}

/** A keeper's part of the rate limit of one endpoint. */
export class OwnedRateLimit {
  readonly observed = new ObservedRateLimit();

  private schedule: PermitSchedule | undefined;

  /** Decides on a permit; it is granted at once while the endpoint has no limit. */
  acquire({ owners, rank, maximumWaitMs }: OwnedPermitRequest, nowMs: number): PermitDecision {
    const { perSecond } = this.observed.current;
    if (perSecond === undefined) return UNLIMITED;
    const ownPerSecond = perSecond / owners;
    // The first permits of all owners are spaced as evenly as the later ones.
    const firstAtMs = nowMs + ((rank + 1) * MS_PER_SECOND) / perSecond;
    this.schedule ??= new PermitSchedule({ perSecond: ownPerSecond, firstAtMs });
    this.schedule.setRate(ownPerSecond, nowMs);
    return this.schedule.acquire({ nowMs, maximumWaitMs });
  }
}
