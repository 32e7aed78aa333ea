import { CallerClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { DevelopmentCluster } from '@marjorampin/development';
import { type PlayedProgram, playProgram, programScriptsSchema } from '@marjorampin/scripts';
import { readToml } from '@marjorampin/settings';

const USERS = [
  { folder: 'lesni-stezka', domains: ['zone-1', 'zone-2', 'zone-3', 'zone-4'] },
  { folder: 'calor-justo', domains: ['zone-1', 'zone-2', 'zone-3'] },
];

/** Plays the examples of both users through real entries and agents, and prints figures. */
export async function runDemo({ examples }: { examples: string }): Promise<void> {
  for (const { folder, domains } of USERS) await playUser(`${examples}/${folder}`, folder, domains);
}

async function playUser(path: string, user: string, domains: string[]): Promise<void> {
  const configuration = readToml(`${path}/configuration.toml`, configurationFileSchema);
  if (configuration.err) throw configuration.val;
  const scripts = readToml(`${path}/programs.toml`, programScriptsSchema);
  if (scripts.err) throw scripts.val;
  const cluster = new DevelopmentCluster({ configuration: configuration.val, domains });
  await cluster.start();
  const key = `${user}-example-key`;
  const client = new CallerClient({ urls: cluster.urls, key, rotates: true });
  console.log(
    `\n${user}: ${cluster.entries.length} entries, ${cluster.endpoints.length} endpoints`,
  );
  for (const script of scripts.val.programs) printProgram(await playProgram(client, script));
  console.log('  executions of calls that run at most once:');
  cluster.executions().forEach((count, call) => console.log(`    ${count} x ${call}`));
  await client.close();
  await cluster.close();
}

function printProgram(played: PlayedProgram): void {
  const { name, program, calls, totalMs } = played;
  console.log(`  program "${name}" (${program})`);
  calls.forEach(({ label, totalMs: ms, answer }) => {
    const { inputTokens, cachedTokens, rebuiltTokens, outputTokens } = answer.usage;
    const tokens = `in ${inputTokens}, cached ${cachedTokens}, rebuilt ${rebuiltTokens}, out ${outputTokens}`;
    const detail = label.startsWith('model') ? tokens : `status ${answer.status}`;
    console.log(`    ${label.padEnd(26)} ${ms.toFixed(0).padStart(5)} ms  ${detail}`);
  });
  const { inputTokens, outputTokens, spentTokens, rebuiltTokens } = played;
  console.log(
    `    ${calls.length} calls in ${totalMs.toFixed(0)} ms; tokens in ${inputTokens}, out ${outputTokens}, charged ${spentTokens}; wasted cache ${rebuiltTokens} tokens`,
  );
}
