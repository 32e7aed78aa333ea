import { readToml, settingsSchema } from '@marjorampin/settings';

/** Validates a settings file and prints a summary; throws `SettingsError` if it is invalid. */
export async function checkSettings(action: string, file: string): Promise<void> {
  if (action !== 'check') throw new Error('use "settings check FILE"');
  const settings = readToml(file, settingsSchema);
  if (settings.err) throw settings.val;
  const { role, id, domain } = settings.val;
  console.log(`${file}: settings of ${role} "${id}" in failure domain "${domain}" are valid`);
}
