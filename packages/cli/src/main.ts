/** Entry point of the `marjorampin` command. */
import { createCommandLine } from './commandLine';

createCommandLine().run(process.argv);
