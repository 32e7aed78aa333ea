import { inputDigest, type RequestInput } from '@marjorampin/quarantine';

/** The caller's input of a call; its digest is computed when it is first needed. */
export class CallInput {
  private readonly input: RequestInput;

  private computed: string | undefined;

  constructor(input: RequestInput) {
    this.input = input;
  }

  /** Digest by which repetitions of the call are recognized. */
  get digest(): string {
    this.computed ??= inputDigest(this.input);
    return this.computed;
  }
}
