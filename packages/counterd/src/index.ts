export { Main } from './main.js';
export { Startup } from './startup.js';
