// Ends the processes of a script that was itself killed. The script names each
// process that it starts and each that has ended.
const running = new Set();

process.on('message', ({started, ended}) => {
  if (started !== undefined) running.add(started);
  if (ended !== undefined) running.delete(ended);
});
process.once('disconnect', () => {
  for (const pid of running) {
    try {
      process.kill(pid, 'SIGKILL');
    } catch {
      // It has ended meanwhile.
    }
  }
  process.exit(0);
});
for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
  process.on(name, () => undefined);
}
