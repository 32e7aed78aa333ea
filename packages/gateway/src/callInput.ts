import { inputDigest, type RequestInput, targetDigest } from '@marjorampin/quarantine';

/** Length of the longest target, in characters, that identifies itself; longer ones take up memory. */
const MAXIMUM_KEY_LENGTH = 128;

/** The caller's input of a call; its digests are computed when they are first needed. */
export class CallInput {
  private readonly input: RequestInput;

  private computedDigest: string | undefined;

  private computedTarget: string | undefined;

  constructor(input: RequestInput) {
    this.input = input;
  }

  /** Digest by which repetitions of the call are recognized. */
  get digest(): string {
    this.computedDigest ??= inputDigest(this.input);
    return this.computedDigest;
  }

  /** Digest by which repetitions with other bodies are recognized. */
  get target(): string {
    this.computedTarget ??= targetDigest(this.input);
    return this.computedTarget;
  }

  /** Identifies the target within this process; a digest of each would cost more time. */
  get targetKey(): string {
    const { host, method, target } = this.input;
    const text = `${host.toLowerCase()} ${method} ${target}`;
    return text.length <= MAXIMUM_KEY_LENGTH ? text : this.target;
  }

  /** Digests of the input and of its target. */
  get digests(): string[] {
    return [this.digest, this.target];
  }
}
