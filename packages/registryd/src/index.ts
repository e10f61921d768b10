export { CoreHttpServer } from './corehttpserver.js';
export { Main } from './main.js';
export { Settings } from './settings.js';
