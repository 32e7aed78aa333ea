import { readToml, settingsSchema } from '@marjorampin/settings';

/** Checks a settings file and prints what is wrong, or that it is right. */
export async function checkSettings(action: string, file: string): Promise<void> {
  if (action !== 'check') throw new Error('use "settings check FILE"');
  const settings = readToml(file, settingsSchema);
  if (settings.err) throw settings.val;
  const { role, id, domain } = settings.val;
  console.log(`${file}: settings of ${role} "${id}" in failure domain "${domain}" are right`);
}
