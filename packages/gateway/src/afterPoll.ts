/** Polls after which the end of a connection is known that had arrived with data that was just read. */
const POLLS = 2;

/** Resolves once the event loop has polled for events again, so that the end of a connection is noticed
 * before the request on it is served. */
export async function afterPoll(): Promise<void> {
  // Immediates run after the current poll.
  for (let poll = 0; poll <= POLLS; poll += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
