export { Common } from './common.js';
export { Desk } from './desk.js';
export { ExitCode } from './exitcode.js';
export { BurstStory } from './lending/burststory.js';
export { LoanStory } from './lending/loanstory.js';
export { Printer } from './printer.js';
export { Story } from './story.js';
export { VisitStory } from './visitstory.js';
