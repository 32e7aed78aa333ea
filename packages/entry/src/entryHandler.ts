import type { FailureDetector } from '@marjorampin/membership';
import {
  type EndpointReport,
  type IncomingCall,
  PeerHandler,
  type Request,
} from '@marjorampin/protocol';
import { CallError } from '@marjorampin/types';
import type { CallMethod } from './calls';
import type { EndpointDispatcher } from './endpointDispatcher';
import type { HistoryReplicator } from './historyReplicator';
import type { HandoverReceiver } from './handoverReceiver';
import type { LedgerClient } from './ledgerClient';
import { recordOf, segmentOf } from './messages';
import type { ProgramOwner } from './programOwner';

type ReplyInit = Awaited<ReturnType<PeerHandler['handle']>>;
type RequestOf<Case extends string> = Extract<Request['body'], { case: Case }>['value'];

const ACCEPTED: ReplyInit = { body: { case: 'acknowledgement', value: { accepted: true } } };

/** Components of an entry that serve the requests of other processes. */
export interface EntryComponents {
  owner: ProgramOwner;
  history: HistoryReplicator;
  ledger: LedgerClient;
  detector: FailureDetector;
  handovers: HandoverReceiver;
  dispatcher: EndpointDispatcher;
}

/** Handles peer requests from other entries and load reports from agents. */
export class EntryHandler extends PeerHandler {
  private components: EntryComponents | undefined;

  /** Starts to serve requests; all but probes are refused with `not-owner` before. */
  setComponents(components: EntryComponents): void {
    this.components = components;
  }

  override async handle({ body }: Request, call: IncomingCall): Promise<ReplyInit> {
    if (body.case === 'probe') return ACCEPTED;
    const { history, handovers, detector } = this.requireComponents();
    switch (body.case) {
      case 'forwardedCall':
        return this.executeForwarded(body.value, call);
      case 'storeSegment':
        await history.storeLocally(
          requireFenceToken(body.value.fence),
          requireSegment(body.value),
          body.value.isCopy,
        );
        return ACCEPTED;
      case 'readSegments': {
        const segments = await history.readLocally(
          requireFenceToken(body.value.fence),
          body.value.program,
        );
        return { body: { case: 'segments', value: { segments } } };
      }
      case 'appendRecords':
        return this.append(body.value);
      case 'readRecord':
        return this.readRecord(body.value);
      case 'handover':
        handovers.receive(body.value);
        return ACCEPTED;
      case 'programSettled': {
        const holders = await handovers.receiveCallEnd(body.value);
        return { body: { case: 'heldBy', value: { holders } } };
      }
      case 'suspicion':
        detector.receiveSuspicion(body.value.suspect, body.value.incarnation, body.value.reporter);
        return ACCEPTED;
      default:
        throw new CallError({
          kind: 'invalid-request',
          message: `an entry does not handle "${body.case}" requests; send them to an agent`,
        });
    }
  }

  override handleReport(report: EndpointReport): void {
    const { endpoint, leaving, running, queued, cachedTokens } = report;
    this.components?.dispatcher.applyReport(endpoint, { running, queued, cachedTokens }, leaving);
  }

  private async executeForwarded(
    request: RequestOf<'forwardedCall'>,
    { signal, sendItem }: IncomingCall,
  ): Promise<ReplyInit> {
    const { customer, program, partition, body, emittedText } = request;
    const method = request.method as CallMethod;
    const call = {
      customer,
      method,
      program,
      partition,
      body,
      emittedText,
      signal,
      onText: sendItem,
    };
    const answer = await this.requireComponents().owner.execute(call);
    return { body: { case: 'forwardedResult', value: { body: answer } } };
  }

  private async append({ shard, records }: RequestOf<'appendRecords'>): Promise<ReplyInit> {
    const appended = await this.requireComponents()
      .ledger.localShard(shard)
      .append(records.map(recordOf));
    if (appended.err) throw appended.val;
    const value = { conflict: !appended.val.appended, records: appended.val.conflictingRecords };
    return { body: { case: 'records', value } };
  }

  private async readRecord({ shard, key }: RequestOf<'readRecord'>): Promise<ReplyInit> {
    const read = await this.requireComponents().ledger.localShard(shard).read(key);
    if (read.err) throw read.val;
    return { body: { case: 'records', value: { records: read.val ? [read.val] : [] } } };
  }

  private requireComponents(): EntryComponents {
    if (this.components) return this.components;
    const message = 'this entry is still starting; retry later';
    throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }
}

function requireFenceToken(fenceToken: { partition: number; epoch: number } | undefined) {
  if (fenceToken) return fenceToken;
  throw new CallError({
    kind: 'invalid-request',
    message:
      'the request has no partition and epoch; run the same version of marjorampin on all hosts',
  });
}

function requireSegment({ segment }: RequestOf<'storeSegment'>) {
  if (segment) return segmentOf(segment);
  throw new CallError({
    kind: 'invalid-request',
    message: 'the request has no segment; run the same version of marjorampin on all hosts',
  });
}
