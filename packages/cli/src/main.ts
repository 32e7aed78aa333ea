/** Entry point of the program. */
import { createProgram } from './commandLine';

createProgram().run(process.argv);
