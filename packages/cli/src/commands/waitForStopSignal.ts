/** Resolves at the first SIGTERM or SIGINT; a second one exits at once with code 1. */
export async function waitForStopSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    const onSignal = () => {
      process.once('SIGTERM', () => process.exit(1));
      process.once('SIGINT', () => process.exit(1));
      resolve();
    };
    process.once('SIGTERM', onSignal);
    process.once('SIGINT', onSignal);
  });
}
