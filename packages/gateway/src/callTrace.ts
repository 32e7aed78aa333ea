/** What is known at the choice of an endpoint. */
export interface ChosenEndpoint {
  endpoint: string;
  /** Age of the load report by which it was chosen; undefined when there was none. */
  loadAgeMs: number | undefined;
  /** Age of the list of endpoints. */
  listAgeMs: number;
}

/** What was decided about a call, for its line in the log. */
export class CallTrace {
  private program: string | undefined;

  private sends = 0;

  private chosen: ChosenEndpoint | undefined;

  /** Notes the program that the call belongs to. */
  setProgram(program: string | undefined): void {
    this.program = program;
  }

  /** Notes a choice. */
  recordChoice(chosen: ChosenEndpoint): void {
    this.sends += 1;
    this.chosen = chosen;
  }

  /** Fields of the line: those of the last choice, and how many there were. */
  get fields() {
    return { program: this.program, sends: this.sends, ...this.chosen };
  }
}
