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

/** Version of the program. */
export const VERSION = '0.1.0';

/** A command line that is ready to run. */
export interface CommandLine {
  run(argv: string[]): Promise<void>;
}

type Action = (...parameters: never[]) => Promise<void>;

/** Reports what a command throws, with an exit code. */
function guarded(action: Action): Action {
  return async (...parameters) => {
    try {
      await action(...parameters);
    } catch (error) {
      printError(error);
    }
  };
}

/** Builds the command line with all its commands. */
export function createProgram(): CommandLine {
  const cli = cac('marjorampin');
  const add = (name: string, description: string, action: Action) =>
    cli.command(name, description).action(guarded(action) as (...parameters: unknown[]) => unknown);

  add('entry', 'Run an entry', runEntry).option('--settings <file>', 'Settings in TOML');
  add('agent', 'Run an agent', runAgent).option('--settings <file>', 'Settings in TOML');
  add('dev', 'Run all parts and stand-ins in one process', runDevelopment)
    .option('--configuration <file>', 'Contracts and services in TOML')
    .option('--entries <count>', 'Number of entries', { default: 2 })
    .option('--endpoints <count>', 'Endpoints of each service', { default: 2 });
  add('demo', 'Play the example programs', runDemo).option('--examples <folder>', 'Examples', {
    default: 'examples',
  });
  add(
    'explain <id> [...files]',
    'Tell the story of a request or program from the logs of several processes',
    printExplanation,
  );
  add('settings <action> <file>', 'check FILE: check the settings of a process', checkSettings);
  add(
    'contract <action> [customer]',
    'get CUSTOMER | apply --file FILE',
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
    .option('--expected-revision <revision>', 'Refuse when the contract changed since');
  add('status', 'Show what an entry knows', printStatus)
    .option('--url <url>', 'URL of an entry', { default: 'http://127.0.0.1:7400' })
    .option('--key <key>', 'Operator key (or MARJORAMPIN_OPERATOR_KEY)');
  add('report <name>', 'burn: show how fast error budgets burn', printReport)
    .option('--url <urls>', 'URLs of the entries, separated by commas', {
      default: 'http://127.0.0.1:7400',
    })
    .option('--key <key>', 'Operator key (or MARJORAMPIN_OPERATOR_KEY)')
    .option('--json', 'Print JSON');
  add('standin <system>', 'Run a stand-in: engine, service or platform', runStandin)
    .option('--address <address>', 'Where to listen', { default: '127.0.0.1:0' })
    .option('--decode-step-ms <ms>', 'Engine: duration of a decoding step')
    .option('--prefill-tokens-per-ms <tokens>', 'Engine: speed of building context')
    .option('--batch-size <count>', 'Engine: sequences in a step')
    .option('--cache-tokens <tokens>', 'Engine: size of the prefix cache');
  cli.help();
  cli.version(VERSION);

  return {
    async run(argv) {
      try {
        cli.parse(argv, { run: false });
        const isInformed = Boolean(cli.options.help ?? cli.options.version);
        if (!cli.matchedCommand && !isInformed) {
          const given = cli.args[0] ? `"${cli.args[0]}" is not a command` : 'a command is missing';
          console.error(`${given}; see "marjorampin --help"`);
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
