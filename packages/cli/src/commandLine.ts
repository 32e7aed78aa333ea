import { cac } from 'cac';
import { applyContracts, printContract } from './commands/contract';
import { runDemo } from './commands/demo';
import { runDevelopment } from './commands/development';
import { printExplanation } from './commands/explain';
import { runAgent, runEntry } from './commands/processes';
import { printReport } from './commands/report';
import { checkSettings } from './commands/settings';
import { runStandin } from './commands/standin';
import { printStatus } from './commands/status';
import { ExitCode, printError } from './exitCode';

/** Version that `marjorampin --version` prints. */
export const VERSION = '0.1.0';

/** The command line of `marjorampin`. */
export interface CommandLine {
  /** Parses `argv`, such as `process.argv`, and runs the command in it; never rejects. */
  run(argv: string[]): Promise<void>;
}

type Action = (...parameters: never[]) => Promise<void>;

/** Wraps a command, so that an error it throws is printed and sets the exit code. */
function withErrorReporting(action: Action): Action {
  return async (...parameters) => {
    try {
      await action(...parameters);
    } catch (error) {
      printError(error);
    }
  };
}

/** Creates the command line with all its commands. */
export function createCommandLine(): CommandLine {
  const cli = cac('marjorampin');
  const addCommand = (name: string, description: string, action: Action) =>
    cli
      .command(name, description)
      .action(withErrorReporting(action) as (...parameters: unknown[]) => unknown);

  addCommand('entry', 'Run an entry', runEntry).option('--settings <file>', 'Settings in TOML');
  addCommand('agent', 'Run an agent', runAgent).option('--settings <file>', 'Settings in TOML');
  addCommand('dev', 'Run entries, agents and stand-ins in one process', runDevelopment)
    .option('--configuration <file>', 'Contracts and services in TOML')
    .option('--entries <count>', 'Number of entries', { default: 2 })
    .option('--endpoints <count>', 'Number of endpoints of each service', { default: 2 });
  addCommand('demo', 'Run the example programs', runDemo).option(
    '--examples <folder>',
    'Folder of the examples',
    { default: 'examples' },
  );
  addCommand(
    'explain <id> [...files]',
    'Show the events of a request or program from the logs of several processes',
    printExplanation,
  );
  addCommand(
    'settings <action> <file>',
    'Validate the settings file of a process (check)',
    checkSettings,
  );
  addCommand(
    'contract <action> [customer]',
    "Print a customer's contract (get), or apply the contracts and services of a file (apply)",
    async (
      action: string,
      customer: string | undefined,
      options: { url: string; key: string; file?: string; expectedRevision?: number },
    ) => {
      if (action === 'get' && customer) await printContract(customer, options);
      else if (action === 'apply') await applyContracts(options);
      else throw new Error('use "contract get CUSTOMER" or "contract apply --file FILE"');
    },
  )
    .option('--url <url>', 'URL of an entry', { default: 'http://127.0.0.1:7400' })
    .option('--key <key>', 'Operator key (or MARJORAMPIN_OPERATOR_KEY)')
    .option('--file <file>', 'Contracts and services in TOML')
    .option('--expected-revision <revision>', 'Apply only if the contract still has this revision');
  addCommand(
    'status',
    'Show the members, endpoints and configuration as an entry sees them',
    printStatus,
  )
    .option('--url <url>', 'URL of an entry', { default: 'http://127.0.0.1:7400' })
    .option('--key <key>', 'Operator key (or MARJORAMPIN_OPERATOR_KEY)');
  addCommand('report <name>', 'Show the burn rates of error budgets (burn)', printReport)
    .option('--url <urls>', 'URLs of the entries, separated by commas', {
      default: 'http://127.0.0.1:7400',
    })
    .option('--key <key>', 'Operator key (or MARJORAMPIN_OPERATOR_KEY)')
    .option('--json', 'Print JSON');
  addCommand('standin <system>', 'Run a stand-in: engine, service or platform', runStandin)
    .option('--address <address>', 'Address to listen on', { default: '127.0.0.1:0' })
    .option('--decode-step-ms <ms>', 'Engine: duration of a decoding step')
    .option('--prefill-tokens-per-ms <tokens>', 'Engine: prefill speed')
    .option('--batch-size <count>', 'Engine: sequences per decoding step')
    .option('--cache-tokens <tokens>', 'Engine: size of the prefix cache');
  cli.help();
  cli.version(VERSION);

  return {
    async run(argv) {
      try {
        cli.parse(argv, { run: false });
        const isHelpOrVersion = Boolean(cli.options.help ?? cli.options.version);
        if (!cli.matchedCommand && !isHelpOrVersion) {
          const problem = cli.args[0] ? `"${cli.args[0]}" is not a command` : 'no command given';
          console.error(`${problem}; see "marjorampin --help"`);
          process.exitCode = ExitCode.usage;
          return;
        }
        await cli.runMatchedCommand();
      } catch (error) {
        console.error(`${(error as Error).message}; see "marjorampin --help"`);
        process.exitCode = ExitCode.usage;
      }
    },
  };
}
