import type { EventLog } from '@marjorampin/logging';
import {
  type Member,
  type MemberDirectory,
  MemberNetwork,
  PROBE_TIMEOUT_MS,
} from '@marjorampin/membership';
import type { PeerPool } from '@marjorampin/protocol';

/** Options of `PeerMemberNetwork`. */
export interface PeerMemberNetworkOptions {
  /** Id of this entry. */
  self: string;
  members: MemberDirectory;
  peers: PeerPool;
  log: EventLog;
}

/** Probes members and reports suspicions for the failure detector, over the peer protocol. */
export class PeerMemberNetwork extends MemberNetwork {
  private readonly options: PeerMemberNetworkOptions;

  constructor(options: PeerMemberNetworkOptions) {
    super();
    this.options = options;
  }

  override members(): Member[] {
    return this.options.members.all();
  }

  override async probe(member: Member): Promise<void> {
    const { peers, self: sender } = this.options;
    const options = { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) };
    await peers.get(member.address).call({ case: 'probe', value: { sender } }, options);
  }

  override reportSuspicion(monitor: Member, suspect: Member): void {
    const { peers, self: reporter } = this.options;
    const value = { suspect: suspect.id, incarnation: suspect.incarnation, reporter };
    const options = { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) };
    peers
      .get(monitor.address)
      .call({ case: 'suspicion', value }, options)
      .catch(() => undefined);
  }

  override async remove(suspect: Member): Promise<void> {
    const { members, log } = this.options;
    const isGone = await members.remove(suspect.id, suspect.incarnation);
    if (isGone) log.write('memberRemoved', { member: suspect.id });
  }
}
