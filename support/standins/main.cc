// deckpitch-standins: small stand-ins for the outside systems, for tests.
int main() { return 2; }
