import { SizeClasses } from './sizeClasses';

/** What holds bytes: answers of endpoints, inputs of callers, and output that callers have not accepted
 * yet. */
export const HOLDING_KINDS = ['answer', 'input', 'output'] as const;

/** What holds bytes. */
export type HoldingKind = (typeof HOLDING_KINDS)[number];

/** Share of the limit that inputs leave to answers, which can't be refused once their call has run. */
const ANSWER_SHARE = 0.25;

/** Inputs of this size are read even while larger ones wait for room, so that ordinary callers are served. */
const SMALL_INPUT_BYTES = 16 * 1024;

/** Room that an input needs to go on: what Node.js reads of a connection at once. */
const READ_BYTES = 64 * 1024;

/** Time without room for an input that waits, after which the largest holding is broken off. */
const STALL_MS = 300;

/** Options of `Holding`. */
export interface HoldingOptions {
  kind: HoldingKind;
  /** Stops what holds the bytes; absent if it has to be completed. */
  breakOff?: ((error: Error) => void) | undefined;
}

/** A holding that was broken off to keep the account within its limit. */
export interface BrokenHolding {
  kind: HoldingKind;
  /** Bytes that the holding held. */
  bytes: number;
  /** Limit of all holdings together, in bytes. */
  limitBytes: number;
}

/** Options of `ByteAccount`. */
export interface ByteAccountOptions {
  /** Limit of all holdings together, in bytes. */
  limitBytes: number;
  onBreakOff?: (broken: BrokenHolding) => void;
}

/** What a holding reports to. */
interface HoldingAccount {
  /** Whether an input of this size, of which `countedBytes` are protected already, can be protected
   * together with the others. */
  hasRoomFor(inputBytes: number, countedBytes?: number): boolean;
  /** Called when the size of a holding changes. */
  change(kind: HoldingKind, bytes: number): void;
  /** Called when the bytes change that have to be held until their call is completed. */
  changeProtected(bytes: number): void;
  /** Called when the size of a holding that can be broken off changes. */
  classify(holding: Holding): void;
  /** Called when a holding is closed or can't be broken off any more. */
  remove(holding: Holding): void;
  /** Returns whether an input of this size has to wait before it grows. */
  isCrowdedFor(bytes: number): boolean;
  /** Calls `onRoom` once an input may go on; the returned function cancels this. */
  awaitRoom(onRoom: () => void): () => void;
}

/** Bytes that one call holds for one purpose. */
export class Holding {
  private readonly options: HoldingOptions;

  private readonly account: HoldingAccount;

  private heldBytes = 0;

  private isClosed = false;

  private isProtected = false;

  constructor(options: HoldingOptions, account: HoldingAccount) {
    this.options = options;
    this.account = account;
  }

  /** What the bytes are held for. */
  get kind(): HoldingKind {
    return this.options.kind;
  }

  /** Bytes held at present. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Whether the account may break the holding off. */
  get isBreakable(): boolean {
    return this.options.breakOff !== undefined && !this.isProtected;
  }

  /** Sets the number of bytes held; may break off this holding or others. */
  resize(bytes: number): void {
    if (this.isClosed) return;
    const growth = bytes - this.heldBytes;
    this.heldBytes = bytes;
    if (this.isProtected) this.account.changeProtected(growth);
    else if (this.isBreakable) this.account.classify(this);
    this.account.change(this.options.kind, growth);
  }

  /** Keeps the holding from being broken off from now on; returns false if there is no room for it. */
  protect(): boolean {
    if (!this.account.hasRoomFor(this.heldBytes)) return false;
    this.isProtected = true;
    this.account.remove(this);
    this.account.changeProtected(this.heldBytes);
    return true;
  }

  /** Whether an input has to wait for room before more of it is read. */
  get isCrowded(): boolean {
    return !this.isClosed && this.account.isCrowdedFor(this.heldBytes);
  }

  /** Calls `onRoom` once an input may go on; the returned function cancels this. */
  awaitRoom(onRoom: () => void): () => void {
    return this.account.awaitRoom(onRoom);
  }

  /** Sets the number of bytes of a protected holding; returns false, without a change, if there is no room for
   * them beside the other protected ones. */
  grow(bytes: number): boolean {
    if (!this.account.hasRoomFor(bytes, this.heldBytes)) return false;
    this.resize(bytes);
    return true;
  }

  /** Releases all bytes; further changes have no effect. */
  close(): void {
    if (this.isClosed) return;
    this.resize(0);
    this.isClosed = true;
    this.account.remove(this);
  }

  /** Called by the account: releases all bytes and stops what holds them. */
  breakOff(error: Error): void {
    this.close();
    this.options.breakOff?.(error);
  }
}

/**
 * Bytes of everything in progress in a process. Inputs wait for room before the limit is reached: the reading of
 * their connections pauses. Above the limit, and if no room is made while an input waits, the largest holdings are
 * broken off, of those of about the same size the one that has grown least recently.
 */
export class ByteAccount implements HoldingAccount {
  readonly limitBytes: number;

  private readonly onBreakOff: (broken: BrokenHolding) => void;

  private readonly breakable = new SizeClasses<Holding>();

  /** Called in this order as room is made. */
  private readonly waiting = new Set<() => void>();

  private stallTimer: NodeJS.Timeout | undefined;

  private readonly sums: Record<HoldingKind, number> = { answer: 0, input: 0, output: 0 };

  private total = 0;

  private protectedTotal = 0;

  private peak = 0;

  constructor({ limitBytes, onBreakOff = () => undefined }: ByteAccountOptions) {
    this.limitBytes = limitBytes;
    this.onBreakOff = onBreakOff;
  }

  /** Bytes held at present. */
  get totalBytes(): number {
    return this.total;
  }

  /** Most bytes that were held at one time. */
  get peakBytes(): number {
    return this.peak;
  }

  /** Bytes that are held for one purpose. */
  bytesOf(kind: HoldingKind): number {
    return this.sums[kind];
  }

  /** Whether an input of this size, of which `countedBytes` are protected already, can be protected
   * together with the others. The only protected one may be larger than the limit: it could never run
   * otherwise. */
  hasRoomFor(inputBytes: number, countedBytes = 0): boolean {
    const others = this.protectedTotal - countedBytes;
    if (countedBytes > 0 && others === 0) return true;
    return others + inputBytes <= this.inputLimitBytes;
  }

  /** Called by a holding when the bytes change that have to be held until their call is completed. */
  changeProtected(bytes: number): void {
    this.protectedTotal += bytes;
  }

  /** Opens an empty holding, which has to be closed. */
  open(options: HoldingOptions): Holding {
    return new Holding(options, this);
  }

  /** Number of inputs that wait for room. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Called by a holding that can be broken off when its size changes. */
  classify(holding: Holding): void {
    this.breakable.set(holding, holding.bytes);
  }

  /** Returns whether an input of this size has to wait before it grows. */
  isCrowdedFor(bytes: number): boolean {
    return bytes > SMALL_INPUT_BYTES && this.total > this.inputLimitBytes;
  }

  /** Calls `onRoom` once an input may go on; the returned function cancels this. */
  awaitRoom(onRoom: () => void): () => void {
    const wake = () => onRoom();
    this.waiting.add(wake);
    this.stallTimer ??= setInterval(() => this.endStall(), STALL_MS).unref();
    return () => {
      this.waiting.delete(wake);
    };
  }

  /** Called by a holding when its size changes. */
  change(kind: HoldingKind, bytes: number): void {
    this.sums[kind] += bytes;
    this.total += bytes;
    if (bytes < 0) this.wakeWaiting();
    else if (this.total > this.peak) this.recordPeak();
  }

  /** Called by a holding when it is closed. */
  remove(holding: Holding): void {
    this.breakable.delete(holding);
  }

  private get inputLimitBytes(): number {
    return this.limitBytes * (1 - ANSWER_SHARE);
  }

  /** Lets as many inputs go on as there is room for. */
  private wakeWaiting(): void {
    let room = this.inputLimitBytes - this.total;
    if (this.waiting.size === 0 || room < 0) return;
    for (const wake of this.waiting) {
      if (room < 0) break;
      room -= READ_BYTES;
      this.waiting.delete(wake);
      wake();
    }
    this.restartStallTimer();
  }

  private restartStallTimer(): void {
    if (this.waiting.size > 0) this.stallTimer?.refresh();
    else {
      clearInterval(this.stallTimer);
      this.stallTimer = undefined;
    }
  }

  /** Makes room: what takes it up may never end by itself. */
  private endStall(): void {
    if (this.waiting.size === 0) {
      this.restartStallTimer();
      return;
    }
    const largest = this.breakable.largest();
    if (largest) this.breakOff(largest);
  }

  private recordPeak(): void {
    while (this.total > this.limitBytes && this.exceedsAnswerShare) {
      const largest = this.breakable.largest();
      if (!largest) break;
      this.breakOff(largest);
    }
    // Never above the limit, so that each growth beyond the limit leads here.
    this.peak = Math.max(this.peak, Math.min(this.total, this.limitBytes));
  }

  /** Whether what can be broken off takes more than is left to it by the largest inputs. */
  private get exceedsAnswerShare(): boolean {
    return this.total - this.protectedTotal > this.limitBytes * ANSWER_SHARE;
  }

  private breakOff(holding: Holding): void {
    const { kind, bytes } = holding;
    const { limitBytes } = this;
    holding.breakOff(
      new Error(
        `the calls in progress hold more than ${limitBytes} bytes, this one ${bytes}; shorten its answer or give the process more memory`,
      ),
    );
    this.onBreakOff({ kind, bytes, limitBytes });
  }
}
