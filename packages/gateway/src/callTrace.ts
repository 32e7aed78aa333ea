/** A chosen endpoint and the age of the data on which the choice is based. */
export interface ChosenEndpoint {
  endpoint: string;
  /** Age of the endpoint's load report in milliseconds; undefined for an unknown endpoint. */
  loadAgeMs: number | undefined;
  /** Age of the list of endpoints in milliseconds. */
  listAgeMs: number;
}

/** Collects the log fields of a call while it is handled. */
export class CallTrace {
  private program: string | undefined;

  private sends = 0;

  private chosen: ChosenEndpoint | undefined;

  /** Sets the id of the program that the call belongs to. */
  setProgram(program: string | undefined): void {
    this.program = program;
  }

  /** Records the choice of an endpoint. */
  recordChoice(chosen: ChosenEndpoint): void {
    this.sends += 1;
    this.chosen = chosen;
  }

  /** Log fields: the program, the number of choices, and the latest choice. */
  get fields() {
    return { program: this.program, sends: this.sends, ...this.chosen };
  }
}
