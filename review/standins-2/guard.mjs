// Ends a daemon and removes its folder when the script that started it is gone.
import {rmSync} from 'node:fs';

const [pid, folder] = process.argv.slice(2);
let isStopped = false;
process.stdin.on('data', () => (isStopped = true));
process.stdin.on('end', () => {
  try {
    if (!isStopped) process.kill(Number(pid), 'SIGKILL');
  } catch {
    // It has ended before.
  }
  rmSync(folder, {recursive: true, force: true});
});
