import { type AdministrationOptions, administer } from './administration';

/** Prints what an entry knows of members, endpoints and configuration. */
export async function printStatus(options: AdministrationOptions): Promise<void> {
  console.log(JSON.stringify(await administer('GET', '/status', options), null, 2));
}
