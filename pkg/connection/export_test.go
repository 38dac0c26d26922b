package connection

// AwaitClose exports awaitClose.
var AwaitClose = awaitClose
