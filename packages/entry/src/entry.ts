import { createServer, type Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { ConfigurationView, ConfigurationWriter } from '@marjorampin/configuration';
import { DiskHistoryStore, MemoryHistoryStore } from '@marjorampin/history';
import { ByteAccount, serveLimited } from '@marjorampin/http';
import { type EventLog, LimitLog } from '@marjorampin/logging';
import {
  FailureDetector,
  loadHash,
  type Member,
  MemberDirectory,
  PartitionTable,
} from '@marjorampin/membership';
import { BurnRecorder, type Metrics } from '@marjorampin/metrics';
import type { KeyValueStore } from '@marjorampin/store';
import { PeerPool, PeerServer, type TlsFiles } from '@marjorampin/protocol';
import {
  type Clock,
  formatPeerAddress,
  parseProgramId,
  type PeerAddress,
} from '@marjorampin/types';
import { H3, toNodeHandler } from 'h3';
import { AdministrationApi } from './administrationApi';
import { CallerApi } from './callerApi';
import { CallRouter } from './callRouter';
import { EndpointDispatcher } from './endpointDispatcher';
import { EntryHandler } from './entryHandler';
import { HandoverReceiver } from './handoverReceiver';
import { HandedOverPrograms } from './handedOverPrograms';
import { HandoverSender } from './handoverSender';
import { HistoryReplicator } from './historyReplicator';
import { LedgerClient } from './ledgerClient';
import { Ownership } from './ownership';
import { PeerMemberNetwork } from './peerMemberNetwork';
import { ProgramOwner } from './programOwner';
import { ProgramRegistry } from './programRegistry';

const DRAIN_POLL_INTERVAL_MS = 20;

/** Connections of callers, and requests of one of them that are served at once. */
const MAXIMUM_CONNECTIONS = 1_950;
const MAXIMUM_PIPELINED = 16;
/** Limit of the bytes of all bodies that are being read. */
const HELD_LIMIT_BYTES = 32 * 1024 * 1024;
/** Time for a whole request: a large body may come over a slow connection. */
const REQUEST_TIMEOUT_MS = 300_000;

/** Options of `Entry`. */
export interface EntryOptions {
  id: string;
  /** Failure domain of the entry. */
  domain: string;
  /** Listen address of the HTTP APIs for callers and operators. */
  callerAddress: PeerAddress;
  /** Listen address of the peer protocol, for other processes of the platform. */
  peerAddress: PeerAddress;
  store: KeyValueStore;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Hex SHA-256 digests of the accepted operator keys; none by default. */
  operatorKeyDigests?: string[];
  /** Folder in which histories are stored; they are kept in memory when absent. */
  dataFolder?: string | undefined;
  /** Files for mutual TLS between the processes of the platform. */
  peerTls?: TlsFiles | undefined;
  /** Paths of the TLS certificate and key for the HTTP APIs. */
  callerTls?: { certificate: string; key: string } | undefined;
}

/** Addresses at which a started entry listens. */
export interface EntryAddresses {
  callers: PeerAddress;
  peers: PeerAddress;
}

/** An entry process: serves the HTTP APIs and owns partitions of programs. */
export class Entry {
  /** Identifies this run of the process. */
  readonly incarnation = randomUUID();

  private readonly options: EntryOptions;

  private readonly configuration: ConfigurationView;

  private readonly members: MemberDirectory;

  private readonly table: PartitionTable;

  private readonly handler = new EntryHandler();

  private readonly peers: PeerPool;

  private readonly peerServer: PeerServer;

  private readonly dispatcher: EndpointDispatcher;

  private callerServer: Server | undefined;

  private callerApi: CallerApi | undefined;

  private ownership: Ownership | undefined;

  private detector: FailureDetector | undefined;

  private history: HistoryReplicator | undefined;

  private registry: ProgramRegistry | undefined;

  private receiver: HandoverReceiver | undefined;

  /** Peer addresses of the members at their last change. */
  private peerAddresses = new Set<string>();

  private isLeaving = false;

  private isClosing = false;

  private isStopped = false;

  private address = '';

  constructor(options: EntryOptions) {
    this.options = options;
    const { store, clock, log, metrics, peerTls: tls } = options;
    this.configuration = new ConfigurationView({ store, clock });
    this.members = new MemberDirectory({ store, clock });
    this.table = new PartitionTable({ store, clock });
    this.peers = new PeerPool({ handler: this.handler, clock, tls });
    this.peerServer = new PeerServer({
      address: options.peerAddress,
      handler: this.handler,
      clock,
      ...(tls ? { tls } : {}),
    });
    this.dispatcher = new EndpointDispatcher({ store, peers: this.peers, clock, log, metrics });
  }

  /** Registers the entry as a member, starts to claim partitions and serves the HTTP APIs. */
  async start(): Promise<EntryAddresses> {
    const { id, log } = this.options;
    const peers = await this.peerServer.listen();
    this.address = formatPeerAddress(peers);
    await Promise.all([
      this.configuration.start(),
      this.members.start(),
      this.table.start(),
      this.dispatcher.start(),
    ]);
    await this.ensureSealingKey();
    await this.register();
    const router = await this.startComponents();
    const callers = await this.listenForCallers(router);
    this.members.onChange(() => {
      this.dropRemovedPeers();
      this.reregisterWhenRemoved();
    });
    log.write('processStarted', { role: 'entry', id });
    return { callers, peers };
  }

  /** Returns true if this entry owns the partition, as last seen in the partition table. */
  owns(partition: number): boolean {
    return this.table.assignmentOf(partition).owner === this.options.id;
  }

  /**
   * Shuts down gracefully: hands partitions over to other entries, finishes the requests in
   * progress and copies the histories of unfinished programs to other entries.
   */
  async stop(): Promise<void> {
    const { id, log, clock } = this.options;
    log.write('processStopping', { role: 'entry', id });
    this.isLeaving = true;
    await this.register();
    await this.ownership?.whenHandedOver();
    // New requests on open connections are refused from here on, or the loop might never end.
    this.isClosing = true;
    this.callerServer?.close();
    while ((this.callerApi?.runningRequestCount ?? 0) > 0 || this.hasRunningCalls()) {
      await clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
    await this.history?.evacuate((program) => {
      const partition = parseProgramId(program)?.partition ?? 0;
      return { partition, epoch: this.table.assignmentOf(partition).epoch };
    });
    await this.members.remove(id, this.incarnation);
    await this.kill();
    log.write('processStopped', { role: 'entry', id });
  }

  /** Stops immediately, without a handover, as a crash would. */
  async kill(): Promise<void> {
    this.isStopped = true;
    this.ownership?.stop();
    this.detector?.stop();
    [this.configuration, this.members, this.table, this.dispatcher].forEach((part) => part.stop());
    this.peers.close();
    this.callerServer?.close();
    this.callerServer?.closeAllConnections();
    await this.peerServer.close();
  }

  /** Returns true while calls run here, also those of programs that were handed over. */
  private hasRunningCalls(): boolean {
    return (this.registry?.all() ?? []).some((program) => program.isRunning);
  }

  private async register(): Promise<void> {
    const { id, domain } = this.options;
    const { address, incarnation, isLeaving: leaving } = this;
    await this.members.register({ id, address, domain, incarnation, leaving });
  }

  /** Creates the key that seals continuations if the store has none, as in a new installation. */
  private async ensureSealingKey(): Promise<void> {
    const { store, log } = this.options;
    if (this.configuration.sealingKeys.length > 0) return;
    const written = await new ConfigurationWriter({ store }).ensureSealingKey();
    if (written.err) log.write('storeUnavailable', { reason: written.val.message });
  }

  /** Closes connections to removed entries, so that their calls are rerouted before a timeout. */
  private dropRemovedPeers(): void {
    const currentAddresses = new Set(this.members.all().map(({ address }) => address));
    const removed = [...this.peerAddresses].filter((address) => !currentAddresses.has(address));
    removed.forEach((address) => this.peers.drop(address));
    this.peerAddresses = currentAddresses;
  }

  /** Registers again after other entries removed this one as failed, for instance after a pause. */
  private reregisterWhenRemoved(): void {
    const { id, log } = this.options;
    if (this.isStopped || this.isLeaving || this.members.get(id)) return;
    log.write('memberReregistered', { id });
    this.register();
  }

  /** Creates, connects and starts the components that serve programs; returns the call router. */
  private async startComponents(): Promise<CallRouter> {
    const { id: self, store, clock, log, metrics, dataFolder } = this.options;
    const { configuration, members, table, peers, dispatcher } = this;
    const hash = await loadHash();
    const local = dataFolder
      ? new DiskHistoryStore({ folder: dataFolder })
      : new MemoryHistoryStore();
    const history = new HistoryReplicator({ self, local, members, peers, hash, log });
    const addressOf = (entry: string) => members.get(entry)?.address;
    const ledger = new LedgerClient({ self, store, table, peers, clock, addressOf });
    const incarnationOf = (entry: string) => members.get(entry)?.incarnation;
    const handedOverPrograms = new HandedOverPrograms({ clock, incarnationOf });
    const registry = new ProgramRegistry({ history, ledger, handedOverPrograms, log });
    const sender = new HandoverSender({ self, registry, peers, clock, log, addressOf });
    const ownership = new Ownership({
      self,
      table,
      members,
      clock,
      hash,
      log,
      onLost: (lost) => {
        handedOverPrograms.dropPartitions(new Set(lost.map(({ partition }) => partition)));
        sender.sendHandovers(lost);
      },
      onAssignedHere: (partition) => this.receiver?.apply(partition),
    });
    const receiver = new HandoverReceiver({ handedOverPrograms, ownership, history, clock });
    this.receiver = receiver;
    const owner = new ProgramOwner({
      configuration,
      registry,
      history,
      ledger,
      dispatcher,
      clock,
      log,
      metrics,
      epochOf: (partition) => ownership.epochOf(partition),
      owns: (partition) => ownership.owns(partition),
      storeAtNewOwner: (program, segment) => sender.sendCallEnd(program, segment),
      reportCallEnd: (program) => {
        sender.sendCallEndWithRetries(program);
      },
    });
    const network = new PeerMemberNetwork({ self, members, peers, log });
    const detector = new FailureDetector({ self, network, clock, hash });
    this.handler.setComponents({
      owner,
      history,
      ledger,
      detector,
      handovers: receiver,
      dispatcher,
    });
    this.ownership = ownership;
    this.detector = detector;
    this.history = history;
    this.registry = registry;
    await ownership.start();
    detector.run();
    metrics.gauge('programs', 'Programs in memory.', () => registry.size);
    metrics.gauge('partitions', 'Partitions that this entry owns.', () => ownership.count);
    return new CallRouter({ self, owner, table, members, peers, clock, metrics });
  }

  private async listenForCallers(router: CallRouter): Promise<PeerAddress> {
    const { callerAddress, callerTls, clock, metrics, store, log } = this.options;
    const { configuration } = this;
    const app = new H3();
    const burn = new BurnRecorder();
    const held = new ByteAccount({ limitBytes: HELD_LIMIT_BYTES });
    this.callerApi = new CallerApi({
      configuration,
      router,
      metrics,
      burn,
      held,
      clock,
      isReady: () => !this.isLeaving,
      isAccepting: () => !this.isClosing,
      filterOwned: (partitions) =>
        partitions.filter(
          (partition) => this.table.assignmentOf(partition).owner === this.options.id,
        ),
    });
    this.callerApi.addRoutes(app);
    const operatorKeyDigests = this.options.operatorKeyDigests ?? [];
    const status = () => this.describe();
    const administrationOptions = {
      store,
      configuration,
      operatorKeyDigests,
      log,
      status,
      burn,
      held,
    };
    new AdministrationApi(administrationOptions).addRoutes(app);
    const listener = toNodeHandler(app);
    const server = callerTls
      ? createTlsServer({
          cert: readFileSync(callerTls.certificate),
          key: readFileSync(callerTls.key),
        })
      : createServer();
    const limitLog = new LimitLog({ log, clock });
    serveLimited(server, {
      maximumConnections: MAXIMUM_CONNECTIONS,
      maximumPipelined: MAXIMUM_PIPELINED,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      handle: listener,
      onLimit: (action) => {
        metrics.count('limited_connections_total', { server: 'callers', action });
        limitLog.record('callers', action);
      },
    });
    this.callerServer = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(callerAddress.port, callerAddress.host, resolve);
    });
    return { host: callerAddress.host, port: (server.address() as AddressInfo).port };
  }

  private describe() {
    const { id, domain } = this.options;
    const members: Member[] = this.members.all();
    const endpoints = this.dispatcher.directory.all().map(({ endpoint, load, isLeaving }) => ({
      id: endpoint.id,
      service: endpoint.service,
      domain: endpoint.domain,
      isLeaving,
      load,
    }));
    return {
      id,
      domain,
      partitions: this.ownership?.count ?? 0,
      programs: this.registry?.size ?? 0,
      configuration: this.configuration.versions(),
      members: members.map((member) => ({
        id: member.id,
        domain: member.domain,
        leaving: member.leaving,
      })),
      endpoints,
    };
  }
}
