/** What holds bytes: answers of endpoints, inputs of callers, and output that callers have not accepted
 * yet. */
export const HOLDING_KINDS = ['answer', 'input', 'output'] as const;

/** What holds bytes. */
export type HoldingKind = (typeof HOLDING_KINDS)[number];

/** Share of the limit that inputs leave to answers, which can't be refused once their call has run. */
const ANSWER_SHARE = 0.25;

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
  /** Called when a holding is closed. */
  remove(holding: Holding): void;
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
    this.account.change(this.options.kind, growth);
  }

  /** Keeps the holding from being broken off from now on; returns false if there is no room for it. */
  protect(): boolean {
    if (!this.account.hasRoomFor(this.heldBytes)) return false;
    this.isProtected = true;
    this.account.changeProtected(this.heldBytes);
    return true;
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

/** Bytes of everything in progress in a process. Above its limit, the largest holdings are broken off
 * first. */
export class ByteAccount implements HoldingAccount {
  readonly limitBytes: number;

  private readonly onBreakOff: (broken: BrokenHolding) => void;

  private readonly holdings = new Set<Holding>();

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
    return others + inputBytes <= this.limitBytes * (1 - ANSWER_SHARE);
  }

  /** Called by a holding when the bytes change that have to be held until their call is completed. */
  changeProtected(bytes: number): void {
    this.protectedTotal += bytes;
  }

  /** Opens an empty holding, which has to be closed. */
  open(options: HoldingOptions): Holding {
    const holding = new Holding(options, this);
    this.holdings.add(holding);
    return holding;
  }

  /** Called by a holding when its size changes. */
  change(kind: HoldingKind, bytes: number): void {
    this.sums[kind] += bytes;
    this.total += bytes;
    if (this.total > this.peak && bytes > 0) this.recordPeak();
  }

  /** Called by a holding when it is closed. */
  remove(holding: Holding): void {
    this.holdings.delete(holding);
  }

  private recordPeak(): void {
    while (this.total > this.limitBytes && this.exceedsAnswerShare) {
      const largest = this.largestBreakable();
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

  private largestBreakable(): Holding | undefined {
    let largest: Holding | undefined;
    this.holdings.forEach((each) => {
      if (each.isBreakable && each.bytes > (largest?.bytes ?? 0)) largest = each;
    });
    return largest;
  }
}
